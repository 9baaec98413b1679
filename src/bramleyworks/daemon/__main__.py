"""Entry point of ``python -m bramleyworks.daemon``."""

from bramleyworks.daemon import main

main.main()

"""Runs the daemon by ``python -m bramleyworks.daemon``."""

from bramleyworks.daemon import main

main.main()

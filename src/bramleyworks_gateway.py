"""Starts an entry VM from a checkout, without installing the project."""

from bramleyworks.gateway import __main__

if __name__ == "__main__":
    __main__.main()

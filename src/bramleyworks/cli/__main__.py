"""Runs the command-line tool."""

from bramleyworks.cli import main

main.main()

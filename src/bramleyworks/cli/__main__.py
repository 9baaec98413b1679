"""Runs the operators' tool."""

from bramleyworks.cli import main

main.main()

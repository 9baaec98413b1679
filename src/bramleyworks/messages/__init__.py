"""Typed messages between daemons and their codec."""

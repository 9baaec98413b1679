"""Runs a small fleet on loopback and shows what it serves."""

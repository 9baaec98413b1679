"""Measurements behind the capacity page."""

"""Adapters to the services of the platform."""

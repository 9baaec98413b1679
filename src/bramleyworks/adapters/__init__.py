"""Clients of the services that the project's own interface stands on."""

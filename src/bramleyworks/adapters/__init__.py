"""Clients of the platform's services and of the upstreams' health endpoints."""

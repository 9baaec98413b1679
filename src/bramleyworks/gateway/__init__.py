"""Serves callers on the VMs of a platform that keeps all lasting state."""

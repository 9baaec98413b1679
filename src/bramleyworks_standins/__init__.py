"""Small stand-ins of the platform for tests and the demo."""

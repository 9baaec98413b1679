"""Configuration writes, and the status and audit trail that operators read."""

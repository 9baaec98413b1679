"""Changes to the stored configuration, and what operators read of a fleet."""

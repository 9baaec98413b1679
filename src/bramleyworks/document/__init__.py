"""The desired state that operators apply as one validated document."""

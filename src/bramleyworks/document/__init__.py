"""The intended state that operators apply as one validated document."""

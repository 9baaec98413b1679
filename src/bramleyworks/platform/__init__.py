"""Translates the platform's names, formats and calls; contains no policy."""

"""The platform's names, formats and calls, translated; nothing here decides."""

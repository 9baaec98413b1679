"""Formats times for operators."""

import datetime


def format_time(time_s: float) -> str:
    """Returns a Unix time as ISO 8601 in UTC with whole seconds."""
    try:
        when = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return f"{time_s} s"
    return when.strftime("%Y-%m-%dT%H:%M:%SZ")

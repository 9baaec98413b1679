"""Decodes the load that upstreams report in a header of responses."""

import re

import result

from bramleyworks import errors
from bramleyworks.gateway import reported_load

# Requests and slots above this are a mistake; registrations have at most 10,000
# slots.
MAX_REQUESTS = 100_000
# Bounds of the fourth figure, where 100 is the usual value. Work that takes
# more than 100 times as long, or less than a tenth, is a mistake.
MIN_WORK_PERCENT = 10
MAX_WORK_PERCENT = 10_000

_FIGURE = re.compile(rb"\d{1,6}")
# Part of a malformed value that errors repeat.
_MAX_SHOWN_BYTES = 40


def decode(
    raw: bytes, peer: str
) -> result.Result[reported_load.ReportedLoad, errors.DocumentError]:
    """Decodes running, waiting, slots and, with some services, the work factor.

    Args:
        raw: Value of the header.
        peer: Id of the upstream, for errors.
    """
    parts = [part.strip() for part in raw.split(b",", 4)]
    reason = ""
    if len(parts) not in (3, 4):
        reason = "are neither three nor four figures"
    elif not all(_FIGURE.fullmatch(part) for part in parts):
        reason = "are no figures of up to six digits"
    if reason:
        return _error(raw, peer, reason)
    figures = [int(part) for part in parts]
    if max(figures[:3]) > MAX_REQUESTS:
        return _error(raw, peer, f"exceed {MAX_REQUESTS}")
    if len(figures) == 3:
        return result.Ok(reported_load.ReportedLoad(figures[0], figures[1]))
    percent = figures[3]
    if not figures[2] or not is_work_percent(percent):
        return _error(raw, peer, "have an impossible slot count or work factor")
    return result.Ok(
        reported_load.ReportedLoad(figures[0], figures[1], percent / 100)
    )


def is_work_percent(percent: int) -> bool:
    """Returns whether a fourth figure is possible."""
    return MIN_WORK_PERCENT <= percent <= MAX_WORK_PERCENT


def _error(
    raw: bytes, peer: str, reason: str
) -> result.Result[reported_load.ReportedLoad, errors.DocumentError]:
    return result.Err(
        errors.DocumentError(
            "load.decode", peer, f"{raw[:_MAX_SHOWN_BYTES]!r} {reason}"
        )
    )

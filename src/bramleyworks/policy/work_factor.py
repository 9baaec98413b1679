"""How long work takes on an upstream's machine, as the upstream reports it.

The factor is 1 if work takes as long as usual. Machines become busy and idle
again within a second, so that a reported factor is worth less the older it is.
"""

import math

USUAL = 1.0
# Time constant with which a reported factor returns to the usual value. Of the
# machines, 15% take 2.5 times as long at any moment, and which ones they are
# changes about every 0.6 s. If changes come at random with this mean interval,
# exp(-age / 0.6 s) is the probability that there was none since the report.
FADE_S = 0.6
# Ratio up to which two factors count as the same. Busy machines report 2.5.
SAME_RATIO = 1.25


def expected(reported: float, age_s: float) -> float:
    """Returns the factor to be expected some time after a report.

    Args:
        reported: The factor as reported.
        age_s: Time since the report in seconds.
    """
    if reported == USUAL:
        return USUAL
    return USUAL + (reported - USUAL) * math.exp(-max(0.0, age_s) / FADE_S)


def is_usual(factor: float) -> bool:
    """Returns whether a factor differs little from the usual value."""
    return _is_same(factor, USUAL)


def during(before: float, before_age_s: float, after: float) -> float | None:
    """Returns the factor that held while a request ran.

    Args:
        before: The last factor reported before the request was sent.
        before_age_s: Age of that report in seconds at that time.
        after: The factor reported in the response.

    Returns:
        None if the machine may have become busy or idle meanwhile, so that the
        request's latency tells nothing about the upstream.
    """
    if before_age_s >= FADE_S:
        before = USUAL
    return after if _is_same(before, after) else None


def _is_same(one: float, other: float) -> bool:
    return max(one, other) <= SAME_RATIO * min(one, other)

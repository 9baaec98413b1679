"""Traffic share and verdict for a new version in moves that last seconds.

``canary_stats`` compares versions over minutes and many requests. Here the
whole move lasts a few seconds and the new version's upstreams start with cold
caches, so only clear differences count.
"""

import dataclasses

# Share of requests at the start, below the tenth that a faulty version may get.
INITIAL_SHARE = 0.06
# Fractions of the time to the deadline at which the share starts to ramp up and
# at which it reaches all requests. The ramp is linear, since an upstream has to
# fetch every object of the requests that it takes over.
RAMP_START_FRACTION = 0.4
RAMP_END_FRACTION = 0.75
# An upstream runs at most a handful of requests at once, so a single crash can
# not cause this many bad responses.
MIN_BAD_RESPONSES = 8
# The new version is worse if its rate of bad responses exceeds OLD_RATE_FACTOR
# times that of the old version by this margin.
BAD_RATE_MARGIN = 0.1
OLD_RATE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Responses of one version on one route.

    Attributes:
        responses: Requests that the version completed or failed.
        bad: Those that failed or took several times as long as usual.
        open: Requests that it is working on.
    """

    responses: int = 0
    bad: int = 0
    open: int = 0


def share(elapsed_s: float, duration_s: float) -> float:
    """Returns the scheduled share of requests for the new version.

    Args:
        elapsed_s: Seconds since the start of the move.
        duration_s: Seconds from the start of the move to its deadline.
    """
    progress = elapsed_s / max(duration_s, 1e-3)
    if progress >= RAMP_END_FRACTION:
        return 1.0
    ramped = max(0.0, progress - RAMP_START_FRACTION) / (
        RAMP_END_FRACTION - RAMP_START_FRACTION
    )
    return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * ramped


def add(one: Counts, other: Counts) -> Counts:
    """Returns the sum of two sets of counts."""
    return Counts(
        one.responses + other.responses,
        one.bad + other.bad,
        one.open + other.open,
    )


def is_worse(new: Counts, old: Counts) -> bool:
    """Returns whether the new version is clearly worse than the old one."""
    if new.bad < MIN_BAD_RESPONSES or not new.responses:
        return False
    old_rate = old.bad / old.responses if old.responses else 0.0
    return (
        new.bad / new.responses >= BAD_RATE_MARGIN + OLD_RATE_FACTOR * old_rate
    )

"""Share and verdict of a new version within a deadline of seconds.

``canary_stats`` compares versions over minutes and many requests; here the
whole move lasts some seconds, and a new version's upstreams start without the
objects that the old ones hold, so only clear differences count.
"""

import dataclasses

# Share of the requests that shows faults at first, below the tenth that a bad
# version may get.
INITIAL_SHARE = 0.06
# Parts of the time to the deadline at which the share begins to rise and at
# which it has reached all requests. It rises steadily, since every object that
# moves has to be fetched by an upstream that does not hold it.
RAMP_START_FRACTION = 0.4
RAMP_END_FRACTION = 0.75
# An upstream runs at most a handful of requests at once, so this many bad
# answers can not come from the end of a single one.
MIN_BAD_RESPONSES = 8
# Rate of bad answers that counts as a fault, above that of the old version.
BAD_RATE_MARGIN = 0.1
OLD_RATE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Answers of one version on one route.

    Attributes:
        responses: Requests that the version answered or failed.
        bad: Those that failed or took several times their usual time.
    """

    responses: int = 0
    bad: int = 0


def share(elapsed_s: float, duration_s: float) -> float:
    """Returns the share of requests that the new version gets by schedule."""
    part = elapsed_s / max(duration_s, 1e-3)
    if part >= RAMP_END_FRACTION:
        return 1.0
    risen = max(0.0, part - RAMP_START_FRACTION) / (
        RAMP_END_FRACTION - RAMP_START_FRACTION
    )
    return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * risen


def add(one: Counts, other: Counts) -> Counts:
    """Returns the sum of two counts."""
    return Counts(one.responses + other.responses, one.bad + other.bad)


def is_worse(new: Counts, old: Counts) -> bool:
    """Returns whether the new version is clearly worse than the old one."""
    if new.bad < MIN_BAD_RESPONSES or not new.responses:
        return False
    old_rate = old.bad / old.responses if old.responses else 0.0
    return (
        new.bad / new.responses >= BAD_RATE_MARGIN + OLD_RATE_FACTOR * old_rate
    )

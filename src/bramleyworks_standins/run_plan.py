"""Which faults a run meets."""

import dataclasses
import random

from bramleyworks_standins import upstream_faults


@dataclasses.dataclass(frozen=True)
class RunPlan:
    """The faults of one run.

    Attributes:
        slow_factor: Factor on the service time.
        fails: The answer is 500.
        late_ms: Delay of the answer after the run.
        resets: The connection is reset instead of an answer.
        short: The answer ends after half of its body.
        extra: A second answer follows.
        extra_after_ms: Time from the answer to the second one.
    """

    slow_factor: float = 1.0
    fails: bool = False
    late_ms: float = 0.0
    resets: bool = False
    short: bool = False
    extra: bool = False
    extra_after_ms: float = 0.0


def draw(
    faults: upstream_faults.UpstreamFaults,
    path: str,
    busy: int,
    age_s: float,
    rng: random.Random,
) -> RunPlan:
    """Draws the faults of a run.

    Args:
        faults: The switches.
        path: Path of the request.
        busy: Busy slots, the request's own included.
        age_s: Seconds since the last change of the switches.
        rng: Source of the draws.
    """
    if (
        busy <= faults.over_busy
        or not path.startswith(faults.path_prefix)
        or age_s < faults.after_s
    ):
        return RunPlan()
    late = rng.random() < faults.late_share
    return RunPlan(
        slow_factor=faults.slow_factor,
        fails=rng.random() < faults.fail_share,
        late_ms=faults.late_ms if late else 0.0,
        resets=rng.random() < faults.reset_share,
        short=rng.random() < faults.short_share,
        extra=rng.random() < faults.extra_share,
        extra_after_ms=faults.extra_after_ms,
    )

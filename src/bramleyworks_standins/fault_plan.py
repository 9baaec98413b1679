"""Which faults a run meets."""

import dataclasses
import random

from bramleyworks_standins import upstream_faults


@dataclasses.dataclass(frozen=True)
class FaultPlan:
    """The faults of one run.

    Attributes:
        slow_factor: Factor on the service time.
        fails: The answer is 500.
        response_delay_ms: Delay of the answer after the run.
        resets: The connection is reset instead of an answer.
        truncates: The answer ends after half of its body.
        sends_extra: A second answer follows.
        extra_delay_ms: Time from the answer to the second one.
    """

    slow_factor: float = 1.0
    fails: bool = False
    response_delay_ms: float = 0.0
    resets: bool = False
    truncates: bool = False
    sends_extra: bool = False
    extra_delay_ms: float = 0.0


def draw(
    faults: upstream_faults.UpstreamFaults,
    path: str,
    busy: int,
    elapsed_s: float,
    rng: random.Random,
) -> FaultPlan:
    """Draws the faults of a run.

    Args:
        faults: The switches.
        path: Path of the request.
        busy: Busy slots, the request's own included.
        elapsed_s: Seconds since the last change of the switches.
        rng: Source of the draws.
    """
    if (
        busy <= faults.over_busy
        or not path.startswith(faults.path_prefix)
        or elapsed_s < faults.after_s
    ):
        return FaultPlan()
    is_late = rng.random() < faults.late_share
    return FaultPlan(
        slow_factor=faults.slow_factor,
        fails=rng.random() < faults.fail_share,
        response_delay_ms=faults.late_ms if is_late else 0.0,
        resets=rng.random() < faults.reset_share,
        truncates=rng.random() < faults.short_share,
        sends_extra=rng.random() < faults.extra_share,
        extra_delay_ms=faults.extra_after_ms,
    )

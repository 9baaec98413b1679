"""Random choice of the faults to inject into a run."""

import dataclasses
import random

from bramleyworks_standins import upstream_faults


@dataclasses.dataclass(frozen=True)
class FaultPlan:
    """Faults to inject into one run.

    Attributes:
        slow_factor: Multiplier of the service time.
        fails: The response has status 500.
        response_delay_ms: Delay of the response after the run, in
            milliseconds.
        resets: The connection is reset without a response.
        truncates: The response ends after half of its body.
        sends_extra: A second response follows.
        extra_delay_ms: Time from the response to the second one, in
            milliseconds.
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
        faults: The fault switches.
        path: Path of the request.
        busy: Slots in use, including the request's own.
        elapsed_s: Seconds since the last change of the switches.
        rng: Random number generator for the draws.
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

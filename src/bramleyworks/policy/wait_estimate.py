"""Estimate of the wait for a slot."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Moving average of the waits of requests in one pool.

    Attributes:
        wait_s: Average wait in seconds.
        at_s: Monotonic time of the latest wait.
    """

    wait_s: float = 0.0
    at_s: float = float("-inf")

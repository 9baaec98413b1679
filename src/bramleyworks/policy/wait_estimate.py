"""How long requests waited recently."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WaitEstimate:
    """A moving average of the waits of requests in one pool.

    Attributes:
        wait_s: Average wait in seconds.
        at_s: Monotonic time of the newest one.
    """

    wait_s: float = 0.0
    at_s: float = float("-inf")

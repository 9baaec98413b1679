"""Load of an upstream as known from its responses to this or other VMs."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream reported at one time.

    Attributes:
        requests: Requests that it ran or queued.
        at_s: Monotonic time of the report in seconds.
        work_factor: How long work took on its machine, relative to the usual
            time; None if it is not known.
    """

    requests: int = 0
    at_s: float = -math.inf
    work_factor: float | None = None

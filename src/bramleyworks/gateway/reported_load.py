"""Load of an upstream as a response states it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Figures of one header.

    Attributes:
        running: Requests that the upstream runs.
        waiting: Requests in its queue.
        work_factor: How long work takes on its machine, relative to the usual
            time; None if the upstream does not say.
    """

    running: int
    waiting: int
    work_factor: float | None = None

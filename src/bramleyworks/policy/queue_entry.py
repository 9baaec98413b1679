"""One waiting request."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A request that waits for a slot.

    Attributes:
        entry_id: Unique in its queue.
        organisation: Organisation of the request.
        item: What the caller of the queue associates with it.
        deadline_s: Monotonic time from which it must not run.
        exclude: Upstreams not wanted.
        since_s: Monotonic time at which it was queued.
    """

    entry_id: int
    organisation: str
    item: Any
    deadline_s: float
    exclude: tuple[str, ...]
    queued_s: float

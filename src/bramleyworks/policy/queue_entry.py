"""An entry of a queue for slots."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A request that waits for a slot.

    Attributes:
        entry_id: Unique in its queue.
        organisation: Organisation of the request.
        item: Opaque value of the caller.
        deadline_s: Monotonic time from which it must not start.
        exclude: Names of upstreams it must not use.
        queued_s: Monotonic time at which it was queued.
    """

    entry_id: int
    organisation: str
    item: Any
    deadline_s: float
    exclude: tuple[str, ...]
    queued_s: float

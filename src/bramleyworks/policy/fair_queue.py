"""A weighted fair queue of the requests of several organisations."""

import math
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from bramleyworks.policy import queue_entry

SERVED_TIME_CONSTANT_S = 2.0
MIN_SERVED = 0.01


class _OrganisationQueue:
    """Waiting requests and recent slot use of one organisation."""

    __slots__ = ("entries", "in_service", "served", "served_s", "weight")

    def __init__(self, weight: float, now_s: float):
        self.weight = weight
        self.in_service = 0
        self.served = 0.0
        self.served_s = now_s
        self.entries: dict[int, queue_entry.QueueEntry] = {}

    def recently_served(self, now_s: float) -> float:
        return self.served * math.exp(
            (self.served_s - now_s) / SERVED_TIME_CONSTANT_S
        )


class FairQueue:
    """Waiting requests of one service and version at one slot owner.

    The organisation with the lowest (in service + recently served) / weight
    goes first; the entries of one organisation are first in, first out. The
    class is mutable because copying all entries for each request would cost
    more than the decision. Methods take the monotonic time.
    """

    def __init__(self, limit: int, weights: Mapping[str, float]):
        self._queues: dict[str, _OrganisationQueue] = {}
        self._next_id = 0
        self._next_deadline_s = math.inf
        self._length = 0
        self.configure(limit, weights)

    def __len__(self) -> int:
        return self._length

    def configure(self, limit: int, weights: Mapping[str, float]) -> None:
        """Sets the queue limit per organisation and the weights."""
        self._limit = limit
        self._weights = dict(weights)
        for name, queue in self._queues.items():
            queue.weight = self._weights.get(name, 1.0)

    def record_start(self, organisation: str, now_s: float) -> None:
        """Records that a request took a slot, whether it was queued or not."""
        queue = self._queue_of(organisation, now_s)
        queue.in_service += 1
        queue.served = queue.recently_served(now_s) + 1.0
        queue.served_s = now_s

    def record_end(self, organisation: str) -> None:
        """Records that a request released its slot."""
        queue = self._queues.get(organisation)
        if queue is not None and queue.in_service > 0:
            queue.in_service -= 1

    def push(
        self,
        organisation: str,
        item: Any,
        deadline_s: float,
        exclude: tuple[str, ...],
        now_s: float,
    ) -> queue_entry.QueueEntry | None:
        """Adds an entry; returns None if the organisation's queue is full."""
        queue = self._queue_of(organisation, now_s)
        if len(queue.entries) >= self._limit:
            return None
        self._next_id += 1
        entry = queue_entry.QueueEntry(
            self._next_id, organisation, item, deadline_s, exclude, now_s
        )
        queue.entries[entry.entry_id] = entry
        self._length += 1
        self._next_deadline_s = min(self._next_deadline_s, deadline_s)
        return entry

    def remove(self, entry: queue_entry.QueueEntry) -> bool:
        """Removes an entry; returns False if it is not in the queue."""
        queue = self._queues.get(entry.organisation)
        if queue is None or queue.entries.pop(entry.entry_id, None) is None:
            return False
        self._length -= 1
        return True

    def pop(
        self,
        now_s: float,
        accepts: Callable[[queue_entry.QueueEntry], bool],
    ) -> queue_entry.QueueEntry | None:
        """Removes and returns the next accepted entry before its deadline."""
        if not self._length:
            return None
        waiting = [q for q in self._queues.values() if q.entries]
        if len(waiting) > 1:
            waiting.sort(
                key=lambda q: (
                    (q.in_service + q.recently_served(now_s)) / q.weight
                )
            )
        for queue in waiting:
            for entry in queue.entries.values():
                if now_s < entry.deadline_s and accepts(entry):
                    del queue.entries[entry.entry_id]
                    self._length -= 1
                    return entry
        return None

    def expire(self, now_s: float) -> list[queue_entry.QueueEntry]:
        """Removes and returns the entries whose deadline has passed."""
        if now_s < self._next_deadline_s:
            return []
        expired = []
        self._next_deadline_s = math.inf
        for name, queue in list(self._queues.items()):
            for entry in list(queue.entries.values()):
                if now_s >= entry.deadline_s:
                    del queue.entries[entry.entry_id]
                    expired.append(entry)
                else:
                    self._next_deadline_s = min(
                        self._next_deadline_s, entry.deadline_s
                    )
            idle = not queue.entries and not queue.in_service
            if idle and queue.recently_served(now_s) < MIN_SERVED:
                del self._queues[name]
        self._length -= len(expired)
        return expired

    def _queue_of(self, organisation: str, now_s: float) -> _OrganisationQueue:
        queue = self._queues.get(organisation)
        if queue is None:
            weight = self._weights.get(organisation, 1.0)
            queue = self._queues[organisation] = _OrganisationQueue(
                weight, now_s
            )
        return queue

"""A queue that is fair between organisations (section 3.5)."""

import math
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from bramleyworks.policy import queue_entry

SERVED_TIME_CONSTANT_S = 2.0
MIN_SERVED = 0.01


class _OrganisationQueue:
    """Use of the slots by one organisation."""

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
    """Waiting requests of one service and version at one owner.

    The organisation with the lowest (in service + recently served) / weight
    goes first; within it, entries keep their order. This is a mutable class
    whose methods take the time, because copying all entries for each request
    would cost more than the decision.
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
        """Sets the longest queue of one organisation, and the weights."""
        self._limit = limit
        self._weights = dict(weights)
        for name, share in self._queues.items():
            share.weight = self._weights.get(name, 1.0)

    def record_start(self, organisation: str, now_s: float) -> None:
        """Counts a request that took a slot, queued before or not."""
        share = self._queue_of(organisation, now_s)
        share.in_service += 1
        share.served = share.recently_served(now_s) + 1.0
        share.served_s = now_s

    def record_end(self, organisation: str) -> None:
        """Counts a request that gave its slot back."""
        share = self._queues.get(organisation)
        if share is not None and share.in_service > 0:
            share.in_service -= 1

    def push(
        self,
        organisation: str,
        item: Any,
        deadline_s: float,
        exclude: tuple[str, ...],
        now_s: float,
    ) -> queue_entry.QueueEntry | None:
        """Adds an entry; None if the organisation's queue is full."""
        share = self._queue_of(organisation, now_s)
        if len(share.entries) >= self._limit:
            return None
        self._next_id += 1
        entry = queue_entry.QueueEntry(
            self._next_id, organisation, item, deadline_s, exclude, now_s
        )
        share.entries[entry.entry_id] = entry
        self._length += 1
        self._next_deadline_s = min(self._next_deadline_s, deadline_s)
        return entry

    def remove(self, entry: queue_entry.QueueEntry) -> bool:
        """Removes an entry; False if it has left already."""
        share = self._queues.get(entry.organisation)
        if share is None or share.entries.pop(entry.entry_id, None) is None:
            return False
        self._length -= 1
        return True

    def pop(
        self,
        now_s: float,
        accepts: Callable[[queue_entry.QueueEntry], bool],
    ) -> queue_entry.QueueEntry | None:
        """Removes the next entry that is before its deadline and accepted."""
        if not self._length:
            return None
        waiting = [s for s in self._queues.values() if s.entries]
        if len(waiting) > 1:
            waiting.sort(
                key=lambda s: (
                    (s.in_service + s.recently_served(now_s)) / s.weight
                )
            )
        for share in waiting:
            for entry in share.entries.values():
                if now_s < entry.deadline_s and accepts(entry):
                    del share.entries[entry.entry_id]
                    self._length -= 1
                    return entry
        return None

    def expire(self, now_s: float) -> list[queue_entry.QueueEntry]:
        """Removes and returns the entries whose deadline has passed."""
        if now_s < self._next_deadline_s:
            return []
        expired = []
        self._next_deadline_s = math.inf
        for name, share in list(self._queues.items()):
            for entry in list(share.entries.values()):
                if now_s >= entry.deadline_s:
                    del share.entries[entry.entry_id]
                    expired.append(entry)
                else:
                    self._next_deadline_s = min(
                        self._next_deadline_s, entry.deadline_s
                    )
            idle = not share.entries and not share.in_service
            if idle and share.recently_served(now_s) < MIN_SERVED:
                del self._queues[name]
        self._length -= len(expired)
        return expired

    def _queue_of(self, organisation: str, now_s: float) -> _OrganisationQueue:
        share = self._queues.get(organisation)
        if share is None:
            weight = self._weights.get(organisation, 1.0)
            share = self._queues[organisation] = _OrganisationQueue(
                weight, now_s
            )
        return share

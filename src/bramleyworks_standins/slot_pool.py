"""The slots of a stand-in upstream and its internal queue."""

import asyncio
import collections


class SlotPool:
    """Runs a fixed number of requests at once and queues a few more.

    Attributes:
        slots: Number of slots.
        busy: Slots in use.
        max_busy: Most slots that were in use at once.
        max_waiting: Most requests that waited at once.
    """

    def __init__(self, slots: int, queue_limit: int):
        self._queue_limit = queue_limit
        self._waiting: collections.deque[asyncio.Future] = collections.deque()
        self.slots = slots
        self.busy = 0
        self.max_busy = 0
        self.max_waiting = 0

    async def acquire(self, timeout_s: float | None) -> bool:
        """Takes a slot.

        Returns:
            False if the queue is full or the wait reached its limit.
        """
        if self.busy < self.slots:
            self.busy += 1
            self.max_busy = max(self.max_busy, self.busy)
            return True
        if len(self._waiting) >= self._queue_limit:
            return False
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        self.max_waiting = max(self.max_waiting, len(self._waiting))
        try:
            # wait() leaves the future alone at the limit, so a slot that was
            # passed on at that moment is not lost.
            await asyncio.wait({fut}, timeout=timeout_s)
        except asyncio.CancelledError:
            if not self._remove_waiting(fut):
                self.release()
            raise
        return not self._remove_waiting(fut)

    def release(self) -> None:
        """Passes a slot on to the first request that waits."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self.busy -= 1

    def _remove_waiting(self, fut: asyncio.Future) -> bool:
        if fut.done():
            return False
        self._waiting.remove(fut)
        return True

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

    def __init__(self, slots: int, queue: int):
        self._queue = queue
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
        if len(self._waiting) >= self._queue:
            return False
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        self.max_waiting = max(self.max_waiting, len(self._waiting))
        try:
            # wait() leaves the future alone at the limit, so a slot that was
            # passed on at that moment is not lost.
            await asyncio.wait({fut}, timeout=timeout_s)
        except asyncio.CancelledError:
            if not self._leave(fut):
                self.release()
            raise
        return not self._leave(fut)

    def release(self) -> None:
        """Passes a slot on to the first request that waits."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self.busy -= 1

    def _leave(self, fut: asyncio.Future) -> bool:
        if fut.done():
            return False
        self._waiting.remove(fut)
        return True

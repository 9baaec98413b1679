"""Slots and request queue of a stand-in upstream."""

import asyncio
import collections


class SlotPool:
    """Limits the requests that run at once and those that wait for a slot.

    Attributes:
        slots: Number of slots.
        busy: Slots in use.
        max_busy: Maximum number of slots in use so far.
        max_waiting: Maximum number of waiting requests so far.
    """

    def __init__(self, slots: int, queue_limit: int):
        self._queue_limit = queue_limit
        self._waiting: collections.deque[asyncio.Future] = collections.deque()
        self.slots = slots
        self.busy = 0
        self.max_busy = 0
        self.max_waiting = 0

    async def acquire(self, timeout_s: float | None) -> bool:
        """Acquires a slot, waiting in the queue if none is free.

        Args:
            timeout_s: Longest wait in seconds, None for no limit.

        Returns:
            False if the queue is full or the wait timed out.
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
            # wait() does not cancel the future on a timeout, so a slot that
            # is handed over at that moment is not lost.
            await asyncio.wait({fut}, timeout=timeout_s)
        except asyncio.CancelledError:
            if not self._remove_waiting(fut):
                self.release()
            raise
        return not self._remove_waiting(fut)

    def release(self) -> None:
        """Hands the slot to the first waiting request, or frees it."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self.busy -= 1

    def _remove_waiting(self, fut: asyncio.Future) -> bool:
        if fut.done():
            return False
        self._waiting.remove(fut)
        return True

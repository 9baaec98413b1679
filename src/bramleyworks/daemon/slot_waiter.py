"""A request that waits for a slot."""

import asyncio
import math

from bramleyworks.daemon import slot
from bramleyworks.daemon import slot_request
from bramleyworks.policy import queue_entry


class SlotWaiter:
    """State of one call of ``SlotTask.acquire``.

    Attributes:
        request: The request.
        started_s: Monotonic time at which the wait began.
        entry: Entry in this VM's queue, None if it is not queued.
        join_queue_s: Monotonic time at which to join this VM's queue, infinite
            once it has joined.
        slot: The assigned slot, None until then.
        local_asks: VM asked, by id of each pending loan request in the own
            region.
        shift_ask: Id of the pending loan request to another region, 0 if none.
        shift_slot: Loan from another region that waits for link tokens.
        tried: Owners that refused a loan or could not be reached.
        next_local_ask_s: Monotonic time from which the next loan request in
            the own region may be sent.
        next_shift_s: Monotonic time from which the next loan request to another
            region may be sent.
    """

    def __init__(self, request: slot_request.SlotRequest, now_s: float):
        self.request = request
        self.started_s = now_s
        self.entry: queue_entry.QueueEntry | None = None
        self.join_queue_s = math.inf
        self.slot: slot.Slot | None = None
        self.local_asks: dict[int, str] = {}
        self.shift_ask = 0
        self.shift_slot: slot.Slot | None = None
        self.tried: set[str] = set()
        self.next_local_ask_s = now_s
        self.next_shift_s = now_s
        self._signal = asyncio.Event()

    def wake(self) -> None:
        """Wakes up the waiting call to check its state."""
        self._signal.set()

    async def wait(self, timeout_s: float) -> None:
        """Waits until ``wake`` is called or the timeout has passed."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._signal.wait()
        except TimeoutError:
            pass
        self._signal.clear()

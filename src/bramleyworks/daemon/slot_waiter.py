"""One request that waits in the slot task."""

import asyncio
import math

from bramleyworks.daemon import slot
from bramleyworks.daemon import slot_request
from bramleyworks.policy import queue_entry


class SlotWaiter:
    """State of one call of ``SlotTask.acquire``.

    Attributes:
        ask: What is wanted.
        since_s: Monotonic time at which it began to wait.
        entry: Its place in this VM's queue, None once it has left.
        queue_s: Time at which it joins this VM's queue, infinite once it did.
        slot: The slot it got, None so far.
        home_asks: Ids of asks in its own region without an answer, with the
            VM asked.
        shift_ask: Id of the ask to another region, 0 if none.
        shift_slot: Loan from another region that waits for link tokens.
        tried: Owners that refused it.
        next_ask_s: Earliest time of the next ask in its own region.
        next_shift_s: Earliest time of the next ask to another region.
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
        """Makes the waiting call look at its state."""
        self._signal.set()

    async def wait(self, timeout_s: float) -> None:
        """Waits for ``wake`` or the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._signal.wait()
        except TimeoutError:
            pass
        self._signal.clear()

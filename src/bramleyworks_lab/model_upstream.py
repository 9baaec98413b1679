"""A server of the model."""

import asyncio
import math
import random

from bramleyworks.document import upstream
from bramleyworks_lab import scenario

# Log-normal spread of the time of a request.
SIGMA = 0.5
COLD_FACTOR = 3.0
COLD_AFTER_S = 10.0
WARM_REQUESTS = 50
# More requests than slots slow each other down: the excess waits in turn.
LATE_FAULT_PART = 0.4
BUSY_PART = 0.7


class ModelUpstream:
    """Runs requests in slots; requests over its slots wait inside it.

    Attributes:
        spec: Its entry in the document.
        running: Requests that were sent to it and have not ended.
        most_over: Most requests over its slots at once.
        down: Whether its region is lost.
        draining: Whether it must get no new work.
    """

    def __init__(
        self,
        spec: upstream.Upstream,
        mean_s: float,
        plan: scenario.Scenario,
        is_next: bool,
        start_s: float,
        rng: random.Random,
    ):
        self.spec = spec
        self._mu = math.log(mean_s) - SIGMA**2 / 2
        self._plan = plan
        self._is_next = is_next
        self._start_s = start_s
        self._rng = rng
        self._gate = asyncio.Semaphore(spec.slots)
        self._cold_left = WARM_REQUESTS if plan.cold else 0
        self._ended_s = start_s
        self.running = 0
        self.most_over = 0
        self.down = False
        self.draining = False

    async def run(self, route: str, now_s: float) -> bool:
        """Runs one request; returns whether it succeeded."""
        if self.down:
            return False
        self.running += 1
        self.most_over = max(self.most_over, self.running - self.spec.slots)
        is_faulty = self._is_faulty(route, now_s)
        try:
            async with self._gate:
                await asyncio.sleep(self._time_s(now_s))
        finally:
            self.running -= 1
        if self.down:
            return False
        return not (is_faulty and self._rng.random() < 0.5)

    def _time_s(self, now_s: float) -> float:
        spent_s = self._rng.lognormvariate(self._mu, SIGMA)
        if self._plan.cold and now_s - self._ended_s > COLD_AFTER_S:
            self._cold_left = WARM_REQUESTS
        self._ended_s = now_s
        if self._cold_left:
            self._cold_left -= 1
            return spent_s * COLD_FACTOR
        return spent_s

    def _is_faulty(self, route: str, now_s: float) -> bool:
        if not self._is_next:
            return False
        kind = self._plan.version
        if kind == "at_once":
            return True
        if kind == "late":
            part = (now_s - self._start_s) / self._plan.seconds
            return part >= LATE_FAULT_PART
        if kind == "under_load":
            return self.running > BUSY_PART * self.spec.slots
        return kind == "one_route" and route.endswith("/b")

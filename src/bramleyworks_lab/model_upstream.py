"""A server of the model."""

import asyncio
import math
import random

from bramleyworks.document import upstream
from bramleyworks_lab import scenario

# Log-normal spread of the time of a request.
LATENCY_SIGMA = 0.5
COLD_FACTOR = 3.0
WARMUP_REQUESTS = 50
# More requests than slots slow each other down: the excess waits in turn.
LATE_FAULT_FRACTION = 0.4
BUSY_FRACTION = 0.7


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
        self._mu = math.log(mean_s) - LATENCY_SIGMA**2 / 2
        self._scenario = plan
        self._is_next = is_next
        self._start_s = start_s
        self._rng = rng
        self._free_slots = asyncio.Semaphore(spec.slots)
        # A cache is warm for the region's own callers and cold for others.
        self._cold_requests_left: dict[str, int] = {}
        self.running = 0
        self.max_excess = 0
        self.down = False
        self.draining = False

    async def run(self, route: str, source: str, now_s: float) -> bool:
        """Runs one request; returns whether it succeeded.

        Args:
            route: Prefix of its route.
            source: Region of its caller.
            now_s: Current time.
        """
        if self.down:
            return False
        self.running += 1
        self.max_excess = max(self.max_excess, self.running - self.spec.slots)
        is_faulty = self._is_faulty(route, now_s)
        try:
            async with self._free_slots:
                await asyncio.sleep(self._service_time_s(source))
        finally:
            self.running -= 1
        if self.down:
            return False
        return not (is_faulty and self._rng.random() < 0.5)

    def _service_time_s(self, source: str) -> float:
        spent_s = self._rng.lognormvariate(self._mu, LATENCY_SIGMA)
        if not self._scenario.cold or source == self.spec.region:
            return spent_s
        left = self._cold_requests_left.get(source, WARMUP_REQUESTS)
        if left == 0:
            return spent_s
        self._cold_requests_left[source] = left - 1
        return spent_s * COLD_FACTOR

    def _is_faulty(self, route: str, now_s: float) -> bool:
        if not self._is_next:
            return False
        kind = self._scenario.version
        if kind == "at_once":
            return True
        if kind == "late":
            part = (now_s - self._start_s) / self._scenario.seconds
            return part >= LATE_FAULT_FRACTION
        if kind == "under_load":
            return self.running > BUSY_FRACTION * self.spec.slots
        return kind == "one_route" and route.endswith("/b")

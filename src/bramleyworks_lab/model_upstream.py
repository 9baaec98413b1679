"""Model of an upstream."""

import asyncio
import math
import random

from bramleyworks.document import upstream
from bramleyworks_lab import scenario

# Sigma of the log-normal service time.
LATENCY_SIGMA = 0.5
COLD_FACTOR = 3.0
WARMUP_REQUESTS = 50
LATE_FAULT_FRACTION = 0.4
BUSY_FRACTION = 0.7


class ModelUpstream:
    """Runs requests in slots; excess requests queue for a free slot.

    Attributes:
        spec: The upstream's entry in the document.
        running: Number of requests in flight, queued ones included.
        max_excess: Most requests in flight above the number of slots.
        down: Whether all requests fail, as in a lost region.
        draining: Whether the health endpoint reports a drain.
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
        # Requests left until the cache is warm, by region of the callers. It is
        # always warm for callers of the upstream's own region.
        self._cold_requests_left: dict[str, int] = {}
        self.running = 0
        self.max_excess = 0
        self.down = False
        self.draining = False

    async def run(self, route: str, source: str, now_s: float) -> bool:
        """Runs one request; returns whether it succeeded.

        Args:
            route: Prefix of the request's route.
            source: Region of the caller.
            now_s: Current virtual time in seconds.
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
        time_s = self._rng.lognormvariate(self._mu, LATENCY_SIGMA)
        if not self._scenario.cold or source == self.spec.region:
            return time_s
        requests_left = self._cold_requests_left.get(source, WARMUP_REQUESTS)
        if requests_left == 0:
            return time_s
        self._cold_requests_left[source] = requests_left - 1
        return time_s * COLD_FACTOR

    def _is_faulty(self, route: str, now_s: float) -> bool:
        if not self._is_next:
            return False
        version_fault = self._scenario.version
        if version_fault == "at_once":
            return True
        if version_fault == "late":
            elapsed_fraction = (now_s - self._start_s) / self._scenario.seconds
            return elapsed_fraction >= LATE_FAULT_FRACTION
        if version_fault == "under_load":
            return self.running > BUSY_FRACTION * self.spec.slots
        return version_fault == "one_route" and route.endswith("/b")

"""Retry budget, shared by all VMs without communication.

The allowance of one VM among many is mostly below one retry. It is rounded at
random, so that all VMs together retry as often as they may.
"""

import collections
import math
import random
from collections.abc import Callable

# Fraction of the proportional allowance that is used. The rest is a margin,
# since requests of one window may reach the upstreams in the next.
RATIO_FRACTION = 0.7
# Fraction of the fixed allowance that is used.
SLACK_FRACTION = 0.6


class RetryBudget:
    """Allows retries in proportion to the requests of a sliding window."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        clock: Callable[[], float],
    ):
        """Initializes the budget with an empty window.

        Args:
            ratio: Retries allowed per request over all VMs.
            slack: Additional fixed number of retries allowed over all VMs.
            window_s: Length of the window in seconds.
            clock: Monotonic time in seconds.
        """
        self.configure(ratio, slack, window_s)
        self._clock = clock
        # Part of a retry that has to be exceeded by service, and since when.
        self._thresholds: dict[str, tuple[float, float]] = {}
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Changes the allowance; arguments as in the constructor."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, service: str) -> None:
        """Counts a caller's request."""
        self._recent(self._requests, service).append(self._clock())

    def try_retry(self, service: str, vm_count: int) -> bool:
        """Counts a retry and returns True if the budget allows it.

        Args:
            service: Service that the retry goes to.
            vm_count: VMs that share the fixed allowance.
        """
        requests = self._recent(self._requests, service)
        retries = self._recent(self._retries, service)
        allowance = RATIO_FRACTION * self._ratio * len(requests)
        allowance += SLACK_FRACTION * self._slack / max(1, vm_count)
        if len(retries) + self._threshold(service) >= allowance:
            return False
        retries.append(self._clock())
        return True

    def _threshold(self, service: str) -> float:
        """Returns the threshold of a service, a new one for each window."""
        now_s = self._clock()
        threshold, drawn_s = self._thresholds.get(service, (0.0, -math.inf))
        if now_s - drawn_s >= self._window_s:
            threshold = random.random()
            self._thresholds[service] = threshold, now_s
        return threshold

    def _recent(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        limit = self._clock() - self._window_s
        while times and times[0] < limit:
            times.popleft()
        return times

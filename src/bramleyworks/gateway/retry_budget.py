"""Retry budget, shared by all VMs without communication."""

import collections
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
        if len(retries) + 1 > allowance:
            return False
        retries.append(self._clock())
        return True

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

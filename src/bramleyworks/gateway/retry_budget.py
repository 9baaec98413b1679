"""The budget of repeats, shared by all VMs without messages."""

import collections
from collections.abc import Callable

# Part of the allowance that is used; requests of one window may reach the
# upstreams in the next.
RATIO_FRACTION = 0.7
# Part of the fixed allowance that is used.
SLACK_FRACTION = 0.6


class RetryBudget:
    """Allows repeats in proportion to the requests of a sliding window."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        clock: Callable[[], float],
    ):
        """Starts with an empty window.

        Args:
            ratio: Repeats allowed per request over all VMs.
            slack: Repeats allowed besides, over all VMs.
            window_s: Length of the window.
            clock: Monotonic time in seconds.
        """
        self.configure(ratio, slack, window_s)
        self._clock = clock
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Changes the allowance; the arguments are those of the class."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, service: str) -> None:
        """Counts a caller's request."""
        self._recent(self._requests, service).append(self._clock())

    def try_retry(self, service: str, vm_count: int) -> bool:
        """Counts a repeat if there is room for it.

        Args:
            service: Service that the repeat goes to.
            vms: VMs that share the fixed allowance.
        """
        requests = self._recent(self._requests, service)
        repeats = self._recent(self._retries, service)
        room = RATIO_FRACTION * self._ratio * len(requests)
        room += SLACK_FRACTION * self._slack / max(1, vm_count)
        if len(repeats) + 1 > room:
            return False
        repeats.append(self._clock())
        return True

    def _recent(
        self, kept: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        times = kept.setdefault(service, collections.deque())
        limit = self._clock() - self._window_s
        while times and times[0] < limit:
            times.popleft()
        return times

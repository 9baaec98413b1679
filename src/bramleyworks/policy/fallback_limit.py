"""Limit on the change of the share of requests that leave their region.

Requests whose upstream is full or slow may run in another region. What callers
of a region notice, and what caches and links have to follow, is the change of
that share from one moment to the next, so the change is limited and not the
share. A VM has few requests of a service per second, so it works with
probabilities: the shares of all VMs of a region then change as each one's.
"""

import math

# Time constant of the share of requests that should leave.
TIME_CONSTANT_S = 2.0
# Requests before the first one, half of which are assumed to want to leave, so
# that a VM does not take its first request for a small share.
PRIOR_REQUESTS = 4.0
# Weight of one request, and time constant, of the share that tells quickly that
# requests do not need to leave any more.
RECENT_WEIGHT = 0.5
RECENT_TIME_CONSTANT_S = 0.5
# Longest time for which the share changes between two requests.
MAX_ELAPSED_S = 2.0


class FallbackLimit:
    """Decides which requests of one service leave their region at one VM.

    Attributes:
        share: Share of the requests that may leave now.
    """

    def __init__(self):
        """Initializes the limit without any request."""
        self.share = 0.0
        self._requests = PRIOR_REQUESTS
        self._wanted = 0.5 * PRIOR_REQUESTS
        self._recently_wanted = 0.0
        self._updated_s: float | None = None

    def leaves(
        self,
        now_s: float,
        should_leave: bool,
        max_change_per_s: float,
        first_share: float,
        draw: float,
    ) -> bool:
        """Returns whether a request leaves its region.

        If fewer requests should leave than before, others leave in their place
        until the share has fallen.

        Args:
            now_s: Monotonic time in seconds.
            should_leave: Whether another region is expected to serve the
                request clearly better.
            max_change_per_s: Largest change of the share per second.
            first_share: Share that may leave without waiting for the change.
            draw: Random number between 0 and 1.
        """
        wanted = self._record(now_s, should_leave, max_change_per_s)
        if should_leave:
            allowed = max(self.share, first_share)
            return draw * max(wanted, 1e-9) < allowed
        return draw < self.share - first_share - self._recently_wanted

    def raise_share(self, now_s: float) -> None:
        """Counts a request that leaves without a limit."""
        self.share = max(
            self.share, self._record(now_s, True, max_change_per_s=0.0)
        )

    def _record(
        self, now_s: float, should_leave: bool, max_change_per_s: float
    ) -> float:
        """Counts a request; returns the share of those that should leave."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        decay = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._requests = self._requests * decay + 1.0
        self._wanted = self._wanted * decay + should_leave
        self._recently_wanted *= math.exp(-elapsed_s / RECENT_TIME_CONSTANT_S)
        self._recently_wanted += RECENT_WEIGHT * (
            should_leave - self._recently_wanted
        )
        wanted = self._wanted / self._requests
        step = max_change_per_s * min(MAX_ELAPSED_S, elapsed_s)
        self.share += min(step, max(-step, wanted - self.share))
        return wanted

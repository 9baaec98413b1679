"""Times at which callers that found no room should come back.

When every upstream of a service has a rate limit, room becomes free at a known
rate. Callers that are all told the time of the next free place return together
and only one of them finds it; each one is therefore told a later time than the
one before.
"""

import math


class ReturnSchedule:
    """Gives each caller of a service its own time to return."""

    def __init__(self):
        self._last_s: dict[str, float] = {}

    def next_wait_s(
        self,
        service: str,
        now_s: float,
        wait_s: float,
        rate_per_s: float,
        max_wait_s: float,
    ) -> float:
        """Returns the seconds after which the next caller should return.

        Args:
            service: Service that has no room.
            now_s: Monotonic time in seconds.
            wait_s: Seconds until there is room for one request.
            rate_per_s: Requests per second for which there is room.
            max_wait_s: Longest wait that the caller will honour; places after
                it are left to callers that can wait longer.
        """
        after_last_s = self._last_s.get(service, -math.inf) + 1.0 / rate_per_s
        at_s = max(now_s + wait_s, after_last_s)
        if at_s > now_s + max_wait_s:
            return max_wait_s
        self._last_s[service] = at_s
        return at_s - now_s

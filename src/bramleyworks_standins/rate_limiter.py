"""Rate limiter for the calls to a stand-in."""

import time
from collections.abc import Callable


class RateLimiter:
    """Token bucket with a capacity of one second of calls."""

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._rate_per_s = 0.0
        self._tokens = 0.0
        self._refilled_s = clock()

    def set_rate(self, rate_per_s: float) -> None:
        """Sets the rate, 0 for no limit; a new rate fills the bucket."""
        if rate_per_s != self._rate_per_s:
            self._rate_per_s = rate_per_s
            self._tokens = rate_per_s
            self._refilled_s = self._clock()

    def try_acquire(self) -> bool:
        """Takes one token; returns False if none is left."""
        if not self._rate_per_s:
            return True
        now_s = self._clock()
        self._tokens = min(
            self._rate_per_s,
            self._tokens + (now_s - self._refilled_s) * self._rate_per_s,
        )
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

"""A token bucket that may be overdrawn, to measure by how much."""


class RateMeter:
    """Meters events against a rate and a burst."""

    def __init__(self, rate_per_s: float, burst: float):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_s = float("-inf")

    def _refill(self, now_s: float) -> None:
        if self._refilled_s != float("-inf"):
            gained = (now_s - self._refilled_s) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_s = now_s

    def has_token(self, now_s: float) -> bool:
        """Returns whether one more event is within rate and burst."""
        self._refill(now_s)
        return self._tokens >= 1.0

    def record_event(self, now_s: float) -> None:
        """Counts one event."""
        self._refill(now_s)
        self._tokens -= 1.0

    def overdraft(self) -> float:
        """Returns by how many events the bucket is overdrawn."""
        return max(0.0, -self._tokens)

"""Token bucket that may be overdrawn, to measure the excess."""


class RateMeter:
    """Compares events with a rate and a burst."""

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
        """Returns whether another event is within the rate and the burst."""
        self._refill(now_s)
        return self._tokens >= 1.0

    def record_event(self, now_s: float) -> None:
        """Records an event; the bucket may become overdrawn."""
        self._refill(now_s)
        self._tokens -= 1.0

    def overdraft(self) -> float:
        """Returns the number of tokens by which the bucket is overdrawn."""
        return max(0.0, -self._tokens)

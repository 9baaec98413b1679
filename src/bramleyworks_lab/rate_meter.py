"""A token bucket that may be overdrawn, to measure by how much."""


class RateMeter:
    """Meters events against a rate and a burst."""

    def __init__(self, rate_per_s: float, burst: float):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._at_s = float("-inf")

    def _fill(self, now_s: float) -> None:
        if self._at_s != float("-inf"):
            gained = (now_s - self._at_s) * self._rate_per_s
            self._level = min(self._burst, self._level + gained)
        self._at_s = now_s

    def fits(self, now_s: float) -> bool:
        """Returns whether one more event is within rate and burst."""
        self._fill(now_s)
        return self._level >= 1.0

    def take(self, now_s: float) -> None:
        """Counts one event."""
        self._fill(now_s)
        self._level -= 1.0

    def overdraft(self) -> float:
        """Returns by how many events the bucket is overdrawn."""
        return max(0.0, -self._level)

"""The time of day that all VMs share although single clocks are stepped.

Windows of usage are numbered by true time, while the time of day of some VMs
may be wrong by seconds. Each VM advances the shared time by its monotonic clock
and follows the holder of the duty. The holder corrects it by the median of the
clocks of all VMs, so that a minority with wrong clocks changes nothing.
"""

import statistics
from collections.abc import Iterable

# Differences up to this one are ignored by the holder. Requests are placed in
# windows of seconds, and the clocks of VMs differ by milliseconds.
TOLERANCE_S = 0.05


class FleetClock:
    """Converts monotonic time to the shared time of day."""

    def __init__(self, wall_s: float, now_s: float):
        """Initializes the shared time as that of this VM's clock.

        Args:
            wall_s: Time of day in seconds since the start of 1970.
            now_s: Monotonic time in seconds.
        """
        self._offset_s = wall_s - now_s

    def time_s(self, now_s: float) -> float:
        """Returns the shared time of day at a monotonic time."""
        return now_s + self._offset_s

    def skew_s(self, wall_s: float, now_s: float) -> float:
        """Returns how far this VM's time of day is ahead of the shared one."""
        return wall_s - now_s - self._offset_s

    def follow(self, time_s: float, sent_s: float, received_s: float) -> None:
        """Follows the holder's time, which a response contains.

        Args:
            time_s: Shared time of day at the holder.
            sent_s: Monotonic time at which the request was sent.
            received_s: Monotonic time at which the response came.
        """
        error_s = time_s - self.time_s((sent_s + received_s) / 2)
        # The holder may have read its time at any moment of the round trip.
        if abs(error_s) > (received_s - sent_s) / 2:
            self._offset_s += error_s

    def correct(self, skews_s: Iterable[float]) -> bool:
        """Corrects the shared time by the clocks of all VMs.

        Args:
            skews_s: Seconds that the clock of each VM is ahead.

        Returns:
            Whether the time was changed.
        """
        known = list(skews_s)
        if not known:
            return False
        # Of an even number, the middle value that changes less.
        error_s = min(
            statistics.median_low(known), statistics.median_high(known), key=abs
        )
        if abs(error_s) <= TOLERANCE_S:
            return False
        self._offset_s += error_s
        return True

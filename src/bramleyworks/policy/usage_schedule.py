"""Which windows of usage are to be recorded, and when.

A window is recorded once, and what is recorded is what is reported. Waiting
longer makes it more exact, but a successor of the holder needs time as well.
"""

import dataclasses
from collections.abc import Collection

from bramleyworks.policy import usage_counts

# Parts of the time to the due time of a report. At the first, most requests of
# the window have ended, and a successor can still be in time: a lease of 3 s,
# 1.5 s to become the holder and a second to collect. Until the second, the
# holder waits for VMs that have sent nothing lately.
COLLECT_FRACTION = 0.3
GIVE_UP_FRACTION = 0.8
# VMs whose last message came longer before a window may be recorded have
# counted more since. They send each second.
MESSAGE_AGE_S = 1.5
# Time that VMs have to send their counts to a new holder.
HANDOVER_S = 1.6
# Records that are kept in the store beside the newest one.
KEPT_RECORDS = 12
# The same while the service accepts nothing; bounds what the store holds.
MAX_RECORDS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSchedule:
    """Times of windows; times of day are in seconds since 1970.

    Attributes:
        report_s: Length of a window.
        late_s: Time after its end at which its report is due.
    """

    report_s: float
    late_s: float

    def window_of(self, time_s: float) -> int:
        """Returns the window of a time of day."""
        return usage_counts.window_of(time_s, self.report_s)

    def collect_s(self, window: int) -> float:
        """Returns the time at which a window may be recorded."""
        return (window + 1) * self.report_s + COLLECT_FRACTION * self.late_s

    def covering_s(self, window: int) -> float:
        """Returns the time from which a message covers a window."""
        end_s = (window + 1) * self.report_s
        return max(end_s, self.collect_s(window) - MESSAGE_AGE_S)

    def is_ready(
        self,
        window: int,
        time_s: float,
        held_s: float,
        missing: int,
        missing_live: int,
    ) -> bool:
        """Returns whether a window should be recorded now.

        Args:
            window: The window.
            time_s: Time of day.
            held_s: Seconds since this VM became the holder.
            missing: VMs that have sent no counts that cover it. A VM that was
                lost counts as one for seconds.
            missing_live: Those of them whose heartbeats arrive.
        """
        if time_s < self.collect_s(window):
            return False
        if not missing:
            return True
        give_up_s = (window + 1) * self.report_s + (
            GIVE_UP_FRACTION * self.late_s
        )
        return time_s >= give_up_s and (
            not missing_live or held_s >= HANDOVER_S
        )

    def unrecorded(
        self,
        time_s: float,
        recorded: Collection[int],
        first: int,
    ) -> list[int]:
        """Returns the windows that have to be recorded, the oldest first.

        Records are removed in order, so that a window before the oldest one is
        not written a second time.

        Args:
            time_s: Time of day.
            recorded: Windows that are recorded.
            first: First window of which there may be counts.
        """
        first = max(first, min(recorded, default=first))
        end = self.window_of(time_s)
        first = max(first, end - usage_counts.MAX_WINDOWS + 1)
        return [
            window
            for window in range(first, end)
            if window not in recorded and time_s >= self.collect_s(window)
        ]


def removable(recorded: Collection[int], unsent: Collection[int]) -> list[int]:
    """Returns the windows whose records are not needed any more.

    Args:
        recorded: Windows that are recorded.
        unsent: Those of them that were not accepted yet.
    """
    if not recorded:
        return []
    newest = max(recorded)
    return [
        window
        for window in recorded
        if window < newest - MAX_RECORDS
        or (window < newest - KEPT_RECORDS and window not in unsent)
    ]

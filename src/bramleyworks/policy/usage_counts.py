"""Counts of requests that upstreams began, by organisation and window.

Each VM counts its own requests. Counts are absolute values, and each change has
a version, so that a message has what changed since the last one that the
receiver confirmed, and repeats and losses do no harm.
"""

import dataclasses
import math
from collections.abc import Mapping

# Windows that are kept: those that a new holder of the duty may still have to
# add after an outage of the store.
MAX_WINDOWS = 24
# Windows that a message may be ahead of the receiver.
MAX_WINDOWS_AHEAD = 2
# Incarnations of VMs whose counts are kept.
MAX_ORIGINS = 1024

Counts = dict[int, dict[str, int]]


def window_of(time_s: float, report_s: float) -> int:
    """Returns the window of a time of day."""
    return math.floor(time_s / report_s)


def began_after_s(
    rtt_s: float, wait_s: float, work_s: float, elapsed_s: float | None
) -> float:
    """Returns the seconds from sending a request to the begin of its work.

    A response tells when the work has ended. The time until then is divided
    between wait and work as it was expected to be.

    Args:
        rtt_s: Round trip to the upstream in seconds.
        wait_s: Expected wait in its queue.
        work_s: Expected work.
        elapsed_s: Seconds until the response came, None without one.
    """
    if elapsed_s is None:
        return rtt_s / 2 + wait_s
    # The round trip is an estimate for a region.
    rtt_s = min(rtt_s, elapsed_s)
    if wait_s <= 0.0:
        return rtt_s / 2
    served_s = elapsed_s - rtt_s
    return rtt_s / 2 + served_s * wait_s / (wait_s + max(0.0, work_s))


class UsageCounts:
    """The counts of this VM."""

    def __init__(self):
        """Initializes counts without requests."""
        self.version = 0
        # Count and version of the last change, by window and organisation.
        self._windows: dict[int, dict[str, tuple[int, int]]] = {}
        self._versions: dict[int, int] = {}

    def add(self, window: int, organisation: str, change: int) -> None:
        """Adds a number of requests, which is negative if they did not run."""
        counts = self._windows.get(window)
        if counts is None:
            counts = self._windows[window] = {}
        self.version += 1
        known, _ = counts.get(organisation, (0, 0))
        counts[organisation] = known + change, self.version
        self._versions[window] = self.version

    def changes_since(self, version: int) -> Counts:
        """Returns the counts that have changed after a version."""
        return {
            window: {
                name: count
                for name, (count, changed) in counts.items()
                if changed > version
            }
            for window, counts in self._windows.items()
            if self._versions[window] > version
        }

    def forget(self, window: int) -> None:
        """Forgets windows that are too old, or ahead, at the time of a window.

        Windows are ahead after a start with a clock that was.
        """
        for other in [
            w
            for w in self._windows
            if not window - MAX_WINDOWS < w <= window + MAX_WINDOWS_AHEAD
        ]:
            del self._windows[other], self._versions[other]


@dataclasses.dataclass(slots=True)
class Origin:
    """Counts of one run of a VM.

    Attributes:
        version: Version of the newest message.
        received_s: Monotonic time at which it came from the VM itself.
        windows: The counts.
    """

    version: int
    received_s: float
    windows: Counts


class UsageCollection:
    """The counts of all VMs, as they were received."""

    def __init__(self):
        """Initializes an empty collection."""
        self._origins: dict[tuple[str, int], Origin] = {}

    def merge(
        self,
        vm: str,
        incarnation: int,
        version: int,
        counts: Mapping[int, Mapping[str, int]],
        window: int,
        received_s: float,
    ) -> None:
        """Merges a message.

        Args:
            vm: Name of the VM that counted.
            incarnation: Its run.
            version: Version of its counts. An older message that comes late
                has nothing that the newer one lacks.
            counts: Absolute counts that have changed.
            window: The present window.
            received_s: Monotonic time of arrival, minus infinity if another VM
                passed the counts on.
        """
        origin = self._origins.get((vm, incarnation))
        if origin is None:
            if len(self._origins) >= MAX_ORIGINS:
                return
            origin = Origin(-1, received_s, {})
            self._origins[vm, incarnation] = origin
        origin.received_s = max(origin.received_s, received_s)
        if version < origin.version:
            return
        origin.version = version
        for number, values in counts.items():
            if window - MAX_WINDOWS < number <= window + MAX_WINDOWS_AHEAD:
                origin.windows.setdefault(number, {}).update(values)

    def total(self, window: int) -> dict[str, int]:
        """Returns the requests of a window by organisation."""
        total: dict[str, int] = {}
        for origin in self._origins.values():
            for name, count in origin.windows.get(window, {}).items():
                total[name] = total.get(name, 0) + count
        return {name: total[name] for name in sorted(total) if total[name] > 0}

    def oldest(self) -> int | None:
        """Returns the oldest window with counts, None if there is none."""
        return min(
            (w for o in self._origins.values() for w in o.windows), default=None
        )

    def heard_since(self, since_s: float) -> set[str]:
        """Returns the VMs that have sent counts since a time."""
        return {
            key[0]
            for key, origin in self._origins.items()
            if origin.received_s >= since_s
        }

    def origins(self) -> dict[tuple[str, int], Origin]:
        """Returns the counts by name and incarnation of the VM."""
        return dict(self._origins)

    def forget(self, window: int, silent_since_s: float = math.inf) -> None:
        """Forgets windows that are too old at the time of a window.

        Args:
            window: The present window.
            silent_since_s: Monotonic time; a VM without counts is forgotten if
                its last message is older.
        """
        for key, origin in list(self._origins.items()):
            for old in [w for w in origin.windows if w <= window - MAX_WINDOWS]:
                del origin.windows[old]
            if not origin.windows and origin.received_s < silent_since_s:
                del self._origins[key]

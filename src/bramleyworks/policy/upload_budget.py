"""Bounds the bytes of uploads that a VM has in flight.

A VM holds a part of each body between two connections, and all bodies share its
link. More bodies at once do not arrive sooner, and all of them may arrive late.
"""

import dataclasses
import math
import time
from collections.abc import Callable

# Part of the memory for bodies; other requests, the copy of the store and the
# program share the rest.
MEMORY_FRACTION = 1 / 16
# Time in which the link passes all bodies in flight. Uploads have 4.7 s, of
# which the work takes 0.5 s and the queue up to 1.5 s.
LINK_WINDOW_S = 2.0
# Bytes that a body of unknown length counts as: the largest usual body.
UNKNOWN_LENGTH_BYTES = 360 * 1024
# Time to return that is named if the speed of the link is not known.
DEFAULT_WAIT_S = 0.2
# Time for which room is kept after the time to return that a caller was told:
# a connection to another region takes 0.1 s.
KEPT_ROOM_GRACE_S = 0.5
# Bodies that may use the room kept for another one. It is kept by size, since
# most callers return to another VM, and larger bodies from there may use it.
MAX_OVERTAKEN = 3
# Refused bodies that are remembered. A VM sees about one upload a second.
MAX_WAITING = 64
_BYTES_PER_S_PER_MBPS = 1_000_000 / 8
_BYTES_PER_MB = 1024 * 1024


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A refused body that may return.

    Attributes:
        counted: Bytes that it counts as; bodies of equal size are one.
        expires_s: Time at which it is forgotten in seconds.
        overtaken: Bodies that used the room kept for it.
    """

    counted: float
    expires_s: float
    overtaken: int = 0


class UploadBudget:
    """Counts declared bytes of uploads from their heads to their ends.

    Without an order, small bodies would take each room before there is enough
    of it for a large one. Refused bodies are remembered in the order of their
    first refusals, and room is kept for the first one until it is admitted or
    does not return in time.

    Attributes:
        limit_bytes: Bytes that may be in flight, infinity for no bound.
        in_flight_bytes: Bytes in flight.
        refused: Uploads that found no room.
    """

    def __init__(
        self,
        ram_mb: float,
        link_mbps: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes the budget.

        Args:
            ram_mb: As in ``configure``.
            link_mbps: As in ``configure``.
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self.in_flight_bytes = 0.0
        self.refused = 0
        self.configure(ram_mb, link_mbps)

    def configure(self, ram_mb: float, link_mbps: float) -> None:
        """Changes the bound.

        Args:
            ram_mb: Memory of the VM in MB, 0 if unknown.
            link_mbps: Bandwidth of its link in Mbit/s, 0 if unknown.
        """
        # Sizes under the earlier bound; bodies return under the new one.
        self._waiting: list[_Waiting] = []
        self._link_bytes_per_s = link_mbps * _BYTES_PER_S_PER_MBPS
        self.limit_bytes = min(
            ram_mb * _BYTES_PER_MB * MEMORY_FRACTION or math.inf,
            self._link_bytes_per_s * LINK_WINDOW_S or math.inf,
        )

    def take(self, length: int | None) -> float | None:
        """Counts an upload if there is room for it.

        A body that is longer than the bound is let in when nothing else is in
        flight, and then counts as the bound.

        Args:
            length: Declared length in bytes, None if unknown.

        Returns:
            The bytes to ``release``, None if there is no room.
        """
        counted = self._counted(length)
        self._waiting = [
            w for w in self._waiting if w.expires_s > self._clock()
        ]
        if not self._try_room(counted):
            self.refused += 1
            self._remember(counted, length)
            return None
        self._waiting = [w for w in self._waiting if w.counted != counted]
        self.in_flight_bytes += counted
        return counted

    def release(self, counted: float) -> None:
        """Ends an upload that counted as some bytes."""
        self.in_flight_bytes -= counted

    def wait_s(self, length: int | None = 0) -> float:
        """Returns the expected time in seconds until there is room.

        Args:
            length: Declared length of the body in bytes, None if unknown.
        """
        if not self._link_bytes_per_s:
            return DEFAULT_WAIT_S
        counted = self._counted(length)
        missing = self.in_flight_bytes + counted - self.limit_bytes
        if self._waiting and self._waiting[0].counted != counted:
            missing += self._waiting[0].counted
        return max(self.in_flight_bytes / 2, missing) / self._link_bytes_per_s

    def _counted(self, length: int | None) -> float:
        size = UNKNOWN_LENGTH_BYTES if length is None else length
        return float(min(size, self.limit_bytes))

    def _try_room(self, counted: float) -> bool:
        """Returns whether a body may be admitted, and counts overtaking."""
        room = self.limit_bytes - self.in_flight_bytes
        if counted > room:
            return False
        if not self._waiting:
            return True
        first = self._waiting[0]
        if counted == first.counted or counted + first.counted <= room:
            return True
        # A VM without uploads refuses none, unless others went ahead before.
        may_overtake = counted > first.counted or not self.in_flight_bytes
        if not may_overtake or first.overtaken >= MAX_OVERTAKEN:
            return False
        first.overtaken += 1
        return True

    def _remember(self, counted: float, length: int | None) -> None:
        """Remembers a refused body for the time in which it may return."""
        wait_s = min(self.wait_s(length), LINK_WINDOW_S)
        expires_s = self._clock() + wait_s + KEPT_ROOM_GRACE_S
        for waiting in self._waiting:
            if waiting.counted == counted:
                waiting.expires_s = expires_s
                return
        if len(self._waiting) < MAX_WAITING:
            self._waiting.append(_Waiting(counted, expires_s))

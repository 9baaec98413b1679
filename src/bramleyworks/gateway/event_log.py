"""Structured log: one line of JSON per event on standard output."""

import collections
import errno
import os
import time
from collections.abc import Callable

import msgspec

# Lines written per second and kind of event; further ones are only counted. A
# VM serves about 50 requests/s on an ordinary day, 150 on the heaviest.
MAX_LINES_PER_S = 200
# Pending bytes above which lines are dropped because the reader is too slow.
MAX_BUFFER_BYTES = 256 * 1024
# Interval between writes, so that one system call writes many lines.
FLUSH_INTERVAL_S = 0.1


class EventLog:
    """Writes lines without blocking on their reader."""

    def __init__(
        self,
        vm_id: str,
        fd: int = 1,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes the log.

        Args:
            vm_id: Name of the VM, part of each line.
            fd: File descriptor to write to; it is set to non-blocking.
            clock: Monotonic time in seconds.
        """
        self._vm_id = vm_id
        self._fd = fd
        self._clock = clock
        self._pending = bytearray()
        self._second = 0
        self._lines: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._encoder = msgspec.json.Encoder()
        os.set_blocking(fd, False)

    def write(self, event: str, **fields) -> None:
        """Adds one line.

        Args:
            event: Kind of event.
            **fields: Details, such as cause and outcome.
        """
        second = int(self._clock())
        if second != self._second:
            self._start_second(second)
        self._lines[event] += 1
        full = len(self._pending) > MAX_BUFFER_BYTES
        if full or self._lines[event] > MAX_LINES_PER_S:
            self._dropped[event] += 1
            return
        self._append(event, fields)

    def flush(self) -> None:
        """Writes as much as is possible without blocking."""
        while self._pending:
            try:
                written = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError as exc:
                if exc.errno != errno.EPIPE:
                    raise
                # The reader has closed the pipe.
                self._pending.clear()
                return
            del self._pending[:written]

    def _start_second(self, second: int) -> None:
        self._second = second
        self._lines.clear()
        if self._dropped and len(self._pending) <= MAX_BUFFER_BYTES:
            dropped = dict(self._dropped)
            self._dropped.clear()
            self._append("log.dropped", {"lines": dropped})

    def _append(self, event: str, fields: dict) -> None:
        line = {
            "time": round(time.time(), 3),
            "vm": self._vm_id,
            "event": event,
            **fields,
        }
        self._pending += self._encoder.encode(line)
        self._pending += b"\n"

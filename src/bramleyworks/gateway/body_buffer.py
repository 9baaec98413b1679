"""Buffer with flow control between two connections."""

import asyncio
import collections
from collections.abc import Callable

# Chunks below this size are joined, since each object takes some 40 bytes more.
SMALL_CHUNK_BYTES = 512


class BodyBuffer:
    """Buffers a body and pauses its source while too much is unread.

    Attributes:
        size: Unread bytes.
        is_complete: Whether the whole body has been received.
        is_paused: Whether its source is paused.
    """

    def __init__(self, limit_bytes: int, set_reading: Callable[[bool], None]):
        """Initializes an empty buffer.

        Args:
            limit_bytes: Unread bytes above which the source is paused.
            set_reading: Resumes (True) or pauses (False) reading from the
                source.
        """
        self.size = 0
        self.is_complete = False
        self._limit_bytes = limit_bytes
        self._set_reading = set_reading
        self._chunks: collections.deque[bytes | bytearray] = collections.deque()
        self.is_paused = False
        self._waiter: asyncio.Future | None = None

    def feed(self, chunk: bytes) -> None:
        """Adds bytes and pauses the source above the limit."""
        if len(chunk) >= SMALL_CHUNK_BYTES:
            self._chunks.append(chunk)
        elif self._chunks and isinstance(self._chunks[-1], bytearray):
            self._chunks[-1].extend(chunk)
        else:
            self._chunks.append(bytearray(chunk))
        self.size += len(chunk)
        if self.size > self._limit_bytes and not self.is_paused:
            self.is_paused = True
            self._set_reading(False)
        self.notify()

    def finish(self) -> None:
        """Marks the body as complete."""
        self.is_complete = True
        self.notify()

    def read_available(self) -> bytes:
        """Removes and returns all unread bytes, and resumes the source."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.size = 0
        if self.is_paused:
            self.is_paused = False
            self._set_reading(True)
        return data

    def peek(self, max_bytes: int) -> bytes:
        """Returns the first unread bytes without removing them."""
        return b"".join(self._chunks)[:max_bytes]

    async def wait(self) -> None:
        """Waits for the next call of ``notify``."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def notify(self) -> None:
        """Wakes the waiting reader."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

"""Bytes of a body between the connection that brings and one that takes."""

import asyncio
import collections
from collections.abc import Callable


class BodyBuffer:
    """Holds a bounded part of a body.

    Attributes:
        size: Bytes that wait to be read.
        is_complete: Whether the whole body has arrived.
    """

    def __init__(self, limit_bytes: int, set_reading: Callable[[bool], None]):
        """Creates an empty buffer.

        Args:
            most: Bytes from which the sending connection is paused.
            flow: Called with whether that connection is to read on.
        """
        self.size = 0
        self.is_complete = False
        self._limit_bytes = limit_bytes
        self._set_reading = set_reading
        self._chunks: collections.deque[bytes] = collections.deque()
        self._is_paused = False
        self._waiter: asyncio.Future | None = None

    def feed(self, chunk: bytes) -> None:
        """Adds bytes."""
        self._chunks.append(chunk)
        self.size += len(chunk)
        if self.size > self._limit_bytes and not self._is_paused:
            self._is_paused = True
            self._set_reading(False)
        self.notify()

    def finish(self) -> None:
        """Marks the body as complete."""
        self.is_complete = True
        self.notify()

    def read_available(self) -> bytes:
        """Returns and removes all bytes that are here."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.size = 0
        if self._is_paused:
            self._is_paused = False
            self._set_reading(True)
        return data

    async def wait(self) -> None:
        """Waits until something has changed."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def notify(self) -> None:
        """Ends a wait."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

"""A caller's request as it arrives."""

import asyncio
import collections
from collections.abc import Callable

# Bytes of a body that wait for the upstream before the caller is paused.
BUFFER_BYTES = 128 * 1024


class Request:
    """One request, written by a connection and read by an exchange.

    Attributes:
        method: Method.
        target: Path and query as sent.
        headers: Names in lower case and values, in the order of arrival.
        received_s: Monotonic time at which its head was complete.
        length: Length of the body by its head, None if it comes in chunks.
        keep_alive: Whether the caller keeps the connection open.
        is_http_10: Whether the caller speaks HTTP/1.0.
        is_complete: Whether the whole body has arrived.
        body_bytes: Bytes of the body that have arrived.
    """

    def __init__(self, flow: Callable[[bool], None]):
        """Creates an empty request.

        Args:
            flow: Called with whether the connection is to read on.
        """
        self.method = b""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.received_s = 0.0
        self.length: int | None = 0
        self.keep_alive = True
        self.is_http_10 = False
        self.is_complete = False
        self.body_bytes = 0
        self._flow = flow
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._paused = False
        self._discarding = False
        self._waiter: asyncio.Future | None = None

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Returns how often a header was sent."""
        return sum(1 for key, _ in self.headers if key == name)

    def feed(self, chunk: bytes) -> None:
        """Takes bytes of the body."""
        self.body_bytes += len(chunk)
        if self._discarding:
            return
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        if self._buffered > BUFFER_BYTES and not self._paused:
            self._paused = True
            self._flow(False)
        self._wake()

    def finish(self) -> None:
        """Marks the body as complete."""
        self.is_complete = True
        self._wake()

    def discard(self) -> None:
        """Drops what is left of the body as it arrives."""
        self._discarding = True
        self._take()

    async def read_whole(self, most: int) -> bytes | None:
        """Waits for a short body.

        Returns:
            The body, or None if it is longer than ``most``; it can be read in
            pieces then.
        """
        while not self.is_complete and self._buffered <= most:
            await self._wait()
        if self._buffered > most:
            return None
        return self._take()

    async def read(self) -> bytes:
        """Returns the next bytes of the body, none at its end."""
        while not self._chunks and not self.is_complete:
            await self._wait()
        return self._take()

    def _take(self) -> bytes:
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._paused:
            self._paused = False
            self._flow(True)
        return data

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

"""The answer of an upstream as it arrives."""

import asyncio
import collections
from collections.abc import Callable

from bramleyworks import errors

# Bytes of a body that wait for the caller before the upstream is paused.
BUFFER_BYTES = 256 * 1024


class Answer:
    """One answer, written by a connection and read by an exchange.

    Attributes:
        status: Status code, 0 before the head has arrived.
        headers: Names in lower case and values, in the order of arrival.
        length: Length of the body by its head, None if its end shows it.
        is_complete: Whether the whole body has arrived.
    """

    def __init__(self, peer: str, flow: Callable[[bool], None]):
        """Creates an answer that has not begun.

        Args:
            peer: Upstream, for errors.
            flow: Called with whether the connection is to read on.
        """
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.length: int | None = None
        self.is_complete = False
        self._peer = peer
        self._flow = flow
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._paused = False
        self._error: errors.UpstreamError | None = None
        self._waiter: asyncio.Future | None = None

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def wait_head(self) -> None:
        """Waits for the head.

        Raises:
            errors.UpstreamError: The exchange failed before.
        """
        while not self.status:
            if self._error is not None:
                raise self._error
            await self._wait()

    async def read(self) -> bytes:
        """Returns the next bytes of the body, none at its end.

        Raises:
            errors.UpstreamError: The body was broken off.
        """
        while not self._chunks:
            if self.is_complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        chunk = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._paused:
            self._paused = False
            self._flow(True)
        return chunk

    def feed_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Takes the head."""
        self.status = status
        self.headers = headers
        self.length = length
        self._wake()

    def feed_body(self, chunk: bytes) -> None:
        """Takes bytes of the body."""
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

    def fail(self, error: errors.UpstreamError) -> None:
        """Marks the answer as broken off unless it is complete."""
        if not self.is_complete and self._error is None:
            self._error = error
            self._wake()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

"""Body of a request from a caller."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

from bramleyworks.daemon import headers


class RequestBody:
    """Buffers the start of a request body and streams the rest.

    Attributes:
        buffered: Bytes read ahead.
        complete: Whether the body was read to its end.
        caller_disconnected: Whether the caller disconnected before the end.
    """

    def __init__(self, scope: dict, receive: Callable[[], Awaitable[dict]]):
        self._receive = receive
        raw = scope["headers"]
        length = headers.first_value(raw, b"content-length")
        self._has_body = (
            length not in (None, b"0")
            or headers.first_value(raw, b"transfer-encoding") is not None
        )
        self.buffered = b""
        self.complete = not self._has_body
        self.caller_disconnected = False

    async def read_ahead(self, limit_bytes: int) -> None:
        """Reads to the end or until more than ``limit_bytes`` are read."""
        chunks = []
        size = 0
        while (
            not self.complete
            and not self.caller_disconnected
            and size <= limit_bytes
        ):
            chunk = await self._read_chunk()
            chunks.append(chunk)
            size += len(chunk)
        self.buffered += b"".join(chunks)

    async def _read_chunk(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            self.caller_disconnected = True
            return b""
        if not message.get("more_body", False):
            self.complete = True
        return message.get("body", b"")

    def content(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body to send to the upstream, None for no body."""
        if not self._has_body:
            return None
        if self.complete:
            return self.buffered
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        yield self.buffered
        while not self.complete:
            chunk = await self._read_chunk()
            if self.caller_disconnected:
                raise ConnectionResetError("the caller left during its body")
            if chunk:
                yield chunk

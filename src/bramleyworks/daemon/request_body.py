"""The body of a caller's request."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

from bramleyworks.daemon import headers


class RequestBody:
    """Reads a body in part ahead and streams the rest.

    Attributes:
        head: The bytes read ahead.
        complete: Whether ``head`` is the whole body.
        broken: Whether the caller left before the end.
    """

    def __init__(self, scope: dict, receive: Callable[[], Awaitable[dict]]):
        self._receive = receive
        raw = scope["headers"]
        length = headers.first(raw, b"content-length")
        self._present = (
            length not in (None, b"0")
            or headers.first(raw, b"transfer-encoding") is not None
        )
        self.head = b""
        self.complete = not self._present
        self.broken = False

    async def read_ahead(self, limit: int) -> None:
        """Reads until the end or until ``limit`` bytes are exceeded."""
        chunks = []
        size = 0
        while not self.complete and not self.broken and size <= limit:
            chunk = await self._chunk()
            chunks.append(chunk)
            size += len(chunk)
        self.head += b"".join(chunks)

    async def _chunk(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            self.broken = True
            return b""
        if not message.get("more_body", False):
            self.complete = True
        return message.get("body", b"")

    def content(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns what to send to the upstream, None for no body."""
        if not self._present:
            return None
        if self.complete:
            return self.head
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        yield self.head
        while not self.complete:
            chunk = await self._chunk()
            if self.broken:
                raise ConnectionResetError("the caller left during its body")
            if chunk:
                yield chunk

"""A caller's request as it arrives."""

from collections.abc import Callable

from bramleyworks.gateway import body_buffer

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
        body_bytes: Bytes of the body that have arrived.
    """

    def __init__(self, set_reading: Callable[[bool], None]):
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
        self.body_bytes = 0
        self._body = body_buffer.BodyBuffer(BUFFER_BYTES, set_reading)
        self._discarding = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._body.is_complete

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
        if not self._discarding:
            self._body.feed(chunk)

    def finish(self) -> None:
        """Marks the body as complete."""
        self._body.finish()

    def discard(self) -> None:
        """Drops what is left of the body as it arrives."""
        self._discarding = True
        self._body.read_available()

    async def read_all(self, max_bytes: int) -> bytes | None:
        """Waits for a short body.

        Returns:
            The body, or None if it is longer than ``most``; it can be read in
            pieces then.
        """
        while not self.is_complete and self._body.size <= max_bytes:
            await self._body.wait()
        if self._body.size > max_bytes:
            return None
        return self._body.read_available()

    async def read(self) -> bytes:
        """Returns the next bytes of the body, none at its end."""
        while not self._body.size and not self.is_complete:
            await self._body.wait()
        return self._body.read_available()

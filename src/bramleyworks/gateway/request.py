"""A caller's request as it is received."""

from collections.abc import Callable

from bramleyworks.gateway import body_buffer

# Buffered bytes of a body above which reading from the caller is paused.
BUFFER_BYTES = 128 * 1024


class Request:
    """A request, written by a connection and read by an exchange.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Lower-case names and values, in the order received.
        received_s: Monotonic time in seconds at which its head was complete.
        length: Body length in bytes declared by the head, None if chunked.
        keep_alive: Whether the caller keeps the connection open.
        is_http_10: Whether it is an HTTP/1.0 request.
        body_bytes: Bytes of the body received so far.
        is_passed_on: Whether a byte of it may have been sent to an upstream or
            another VM.
    """

    def __init__(self, set_reading: Callable[[bool], None]):
        """Initializes an empty request.

        Args:
            set_reading: Resumes (True) or pauses (False) reading from the
                connection.
        """
        self.method = b""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.received_s = 0.0
        self.length: int | None = 0
        self.keep_alive = True
        self.is_http_10 = False
        self.body_bytes = 0
        self.is_passed_on = False
        self._body = body_buffer.BodyBuffer(BUFFER_BYTES, set_reading)
        self._discarding = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has been received."""
        return self._body.is_complete

    @property
    def is_paused(self) -> bool:
        """Whether its body has paused reading from the connection."""
        return self._body.is_paused

    @property
    def held_bytes(self) -> int:
        """Unread bytes of its body."""
        return self._body.size

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Returns how many times a header occurs."""
        return sum(1 for key, _ in self.headers if key == name)

    def feed(self, chunk: bytes) -> None:
        """Adds bytes of the body."""
        self.body_bytes += len(chunk)
        if not self._discarding:
            self._body.feed(chunk)

    def finish(self) -> None:
        """Marks the body as complete."""
        self._body.finish()

    def discard(self) -> None:
        """Discards the unread body, including bytes not yet received."""
        self._discarding = True
        self._body.read_available()

    async def read_all(self, max_bytes: int) -> bytes | None:
        """Reads a whole body of limited size.

        Args:
            max_bytes: Maximum size of the body.

        Returns:
            The body, or None if it is longer; ``read`` returns it then.
        """
        while not self.is_complete and self._body.size <= max_bytes:
            await self._body.wait()
        if self._body.size > max_bytes:
            return None
        return self._body.read_available()

    def peek(self, max_bytes: int) -> bytes:
        """Returns the first unread bytes of the body."""
        return self._body.peek(max_bytes)

    async def read(self) -> bytes:
        """Returns the next bytes of the body, empty at its end."""
        while not self._body.size and not self.is_complete:
            await self._body.wait()
        return self._body.read_available()

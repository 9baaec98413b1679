"""An upstream's response as it arrives."""

from collections.abc import Callable

from bramleyworks import errors
from bramleyworks.gateway import body_buffer

# Buffered bytes of a body above which reading from the upstream is paused.
BUFFER_BYTES = 256 * 1024


class UpstreamResponse:
    """A response, written by a connection and read by an exchange.

    Attributes:
        has_head: Whether the head has arrived.
        status: Status code, meaningless before the head has arrived.
        headers: Lower-case names and values, in the order received.
        length: Body length in bytes declared by the head, None for a chunked
            body or one that ends with the connection.
    """

    def __init__(self, set_reading: Callable[[bool], None]):
        """Initializes a response whose head has not been received.

        Args:
            set_reading: Resumes (True) or pauses (False) reading from the
                connection.
        """
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.length: int | None = None
        self._body = body_buffer.BodyBuffer(BUFFER_BYTES, set_reading)
        self.has_head = False
        self._error: errors.UpstreamError | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has been received."""
        return self._body.is_complete

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def wait_head(self) -> None:
        """Waits for the head.

        Raises:
            errors.UpstreamError: The exchange failed before the head arrived.
        """
        while not self.has_head:
            if self._error is not None:
                raise self._error
            await self._body.wait()

    async def read(self) -> bytes:
        """Returns the next bytes of the body, empty at its end.

        Raises:
            errors.UpstreamError: The body was cut short.
        """
        while not self._body.size:
            if self.is_complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._body.wait()
        return self._body.read_available()

    def feed_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Stores the head."""
        self.has_head = True
        self.status = status
        self.headers = headers
        self.length = length
        self._body.notify()

    def feed_body(self, chunk: bytes) -> None:
        """Adds bytes of the body."""
        self._body.feed(chunk)

    def finish(self) -> None:
        """Marks the body as complete."""
        self._body.finish()

    def fail(self, error: errors.UpstreamError) -> None:
        """Fails the response unless it is complete."""
        if not self.is_complete and self._error is None:
            self._error = error
            self._body.notify()

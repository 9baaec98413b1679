"""The answer of an upstream as it arrives."""

from collections.abc import Callable

from bramleyworks import errors
from bramleyworks.gateway import body_buffer

# Bytes of a body that wait for the caller before the upstream is paused.
BUFFER_BYTES = 256 * 1024


class UpstreamResponse:
    """One answer, written by a connection and read by an exchange.

    Attributes:
        status: Status code, 0 before the head has arrived.
        headers: Names in lower case and values, in the order of arrival.
        length: Length of the body by its head, None if its end shows it.
    """

    def __init__(self, set_reading: Callable[[bool], None]):
        """Creates an answer that has not begun.

        Args:
            flow: Called with whether the connection is to read on.
        """
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.length: int | None = None
        self._body = body_buffer.BodyBuffer(BUFFER_BYTES, set_reading)
        self._error: errors.UpstreamError | None = None

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

    async def wait_head(self) -> None:
        """Waits for the head.

        Raises:
            errors.UpstreamError: The exchange failed before.
        """
        while not self.status:
            if self._error is not None:
                raise self._error
            await self._body.wait()

    async def read(self) -> bytes:
        """Returns the next bytes of the body, none at its end.

        Raises:
            errors.UpstreamError: The body was broken off.
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
        """Takes the head."""
        self.status = status
        self.headers = headers
        self.length = length
        self._body.notify()

    def feed_body(self, chunk: bytes) -> None:
        """Takes bytes of the body."""
        self._body.feed(chunk)

    def finish(self) -> None:
        """Marks the body as complete."""
        self._body.finish()

    def fail(self, error: errors.UpstreamError) -> None:
        """Marks the answer as broken off unless it is complete."""
        if not self.is_complete and self._error is None:
            self._error = error
            self._body.notify()

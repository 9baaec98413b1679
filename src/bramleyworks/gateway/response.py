"""The response to one request, kept in the order of its connection."""

import asyncio
import http
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

# Bytes of a response that wait behind an earlier one before its upstream is
# paused.
BUFFER_BYTES = 512 * 1024


class Response:
    """Collects bytes until all earlier responses have been sent.

    Attributes:
        started: Whether the head was written.
        ended: Whether the response is complete or broken off.
        closes: Whether the connection ends with it.
    """

    def __init__(
        self,
        write: Callable[[bytes], None],
        drain: Callable[[], Awaitable[None]],
        end: Callable[["Response"], None],
        abort: Callable[[], None],
        is_http_10: bool,
    ):
        """Creates a response that waits for its turn.

        Args:
            write: Writes to the connection; used when it is the first.
            drain: Waits until the caller reads on.
            end: Told when the response is complete.
            abort: Closes the connection at once.
            is_http_10: Whether the caller can not read chunks.
        """
        self.started = False
        self.ended = False
        self.closes = False
        self._write = write
        self._drain = drain
        self._end = end
        self._abort = abort
        self._is_http_10 = is_http_10
        self._first = asyncio.Event()
        self._chunked = False
        self._held = bytearray()

    def head(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        length: int | None,
        close: bool,
    ) -> None:
        """Writes the head.

        Args:
            status: Status code.
            headers: Headers without those about framing and connection.
            length: Length of the body, None if it is not known yet.
            close: Whether the connection is to end with this response.
        """
        self.started = True
        self.closes = close
        lines = [b"HTTP/1.1 %d %s" % (status, _reason(status))]
        lines.extend(b"%b: %b" % header for header in headers)
        if length is not None:
            if status not in (204, 304):
                lines.append(b"content-length: %d" % length)
        elif self._is_http_10:
            self.closes = True
        else:
            self._chunked = True
            lines.append(b"transfer-encoding: chunked")
        if self.closes:
            lines.append(b"connection: close")
        self._put(b"\r\n".join(lines) + b"\r\n\r\n")

    async def body(self, chunk: bytes) -> None:
        """Writes bytes of the body and waits while the caller lags."""
        if not chunk:
            return
        if self._chunked:
            self._put(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        else:
            self._put(chunk)
        if len(self._held) > BUFFER_BYTES:
            await self._first.wait()
        if self._first.is_set():
            await self._drain()

    def whole(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        close: bool,
    ) -> None:
        """Writes a complete response."""
        self.head(status, headers, len(body), close)
        if body:
            self._put(body)
        self.end()

    def end(self) -> None:
        """Marks the response as complete."""
        if self.ended:
            return
        if self._chunked:
            self._put(b"0\r\n\r\n")
        self.ended = True
        self._end(self)

    def abort(self) -> None:
        """Breaks the response off so that it can not look complete."""
        if not self.ended:
            self.ended = True
            self._abort()

    def make_first(self) -> None:
        """Writes what was held back; all earlier responses are complete."""
        self._first.set()
        if self._held:
            self._write(bytes(self._held))
            self._held.clear()

    def _put(self, data: bytes) -> None:
        if self._first.is_set():
            self._write(data)
        else:
            self._held += data


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"

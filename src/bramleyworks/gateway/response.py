"""The response to a caller's request."""

import asyncio
import http
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

# Bytes of a response buffered behind an earlier one above which its writer
# waits, which in turn pauses the upstream.
BUFFER_BYTES = 512 * 1024


class Response:
    """Buffers bytes until all earlier pipelined responses have been sent.

    Attributes:
        started: Whether the head has been written.
        ended: Whether the response is complete or aborted.
        closes_connection: Whether the connection closes after it.
    """

    def __init__(
        self,
        write: Callable[[bytes], None],
        drain: Callable[[], Awaitable[None]],
        on_end: Callable[["Response"], None],
        abort: Callable[[], None],
        reset: Callable[[], None],
        is_http_10: bool,
    ):
        """Initializes a response that buffers until ``flush``.

        Args:
            write: Writes to the connection once earlier responses are sent.
            drain: Waits until the connection's send buffer has room.
            on_end: Called when the response is complete.
            abort: Closes the connection at once.
            reset: Closes it so that the caller sees an error.
            is_http_10: Whether the caller uses HTTP/1.0, which has no chunked
                coding.
        """
        self.started = False
        self.ended = False
        self.closes_connection = False
        self._write = write
        self._drain = drain
        self._on_end = on_end
        self._abort = abort
        self._reset = reset
        self._is_http_10 = is_http_10
        self._may_write = asyncio.Event()
        self._chunked = False
        self._ends_with_connection = False
        self._buffered = bytearray()

    def write_head(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        length: int | None,
        close: bool,
    ) -> None:
        """Writes the head.

        Args:
            status: Status code.
            headers: Headers except those for framing and the connection.
            length: Body length in bytes, None if unknown.
            close: Whether to close the connection after this response.
        """
        self.started = True
        self.closes_connection = close
        lines = [b"HTTP/1.1 %d %s" % (status, _reason_phrase(status))]
        lines.extend(b"%b: %b" % header for header in headers)
        if length is not None:
            if status not in (204, 304):
                lines.append(b"content-length: %d" % length)
        elif self._is_http_10:
            self._ends_with_connection = True
            self.closes_connection = True
        else:
            self._chunked = True
            lines.append(b"transfer-encoding: chunked")
        if self.closes_connection:
            lines.append(b"connection: close")
        self._write_or_buffer(b"\r\n".join(lines) + b"\r\n\r\n")

    async def write_body(self, chunk: bytes) -> None:
        """Writes bytes of the body and waits while the caller is slow."""
        if not chunk:
            return
        if self._chunked:
            self._write_or_buffer(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        else:
            self._write_or_buffer(chunk)
        if len(self._buffered) > BUFFER_BYTES:
            await self._may_write.wait()
        if self._may_write.is_set():
            await self._drain()

    def write_complete(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        close: bool,
    ) -> None:
        """Writes a complete response."""
        self.write_head(status, headers, len(body), close)
        if body:
            self._write_or_buffer(body)
        self.finish()

    def finish(self) -> None:
        """Marks the response as complete."""
        if self.ended:
            return
        if self._chunked:
            self._write_or_buffer(b"0\r\n\r\n")
        self.ended = True
        self._on_end(self)

    def abort(self) -> None:
        """Closes the connection so that a partial response is detectable."""
        if self.ended:
            return
        self.ended = True
        if self._ends_with_connection:
            # A regular close would end it as a complete response.
            self._reset()
        else:
            self._abort()

    def flush(self) -> None:
        """Sends the buffered bytes once all earlier responses are complete."""
        self._may_write.set()
        if self._buffered:
            self._write(bytes(self._buffered))
            self._buffered.clear()

    def _write_or_buffer(self, data: bytes) -> None:
        if self._may_write.is_set():
            self._write(data)
        else:
            self._buffered += data


def _reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"

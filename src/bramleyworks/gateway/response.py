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
        is_aborted: Whether it ended without being complete.
        closes_connection: Whether the connection closes after it.
    """

    def __init__(
        self,
        write: Callable[[bytes], None],
        drain: Callable[[], Awaitable[None]],
        on_end: Callable[["Response"], None],
        may_close: Callable[["Response"], bool],
        is_http_10: bool,
    ):
        """Initializes a response that buffers until ``flush``.

        Args:
            write: Writes to the connection once earlier responses are sent.
            drain: Waits until the connection's send buffer has room.
            on_end: Called when the response is complete or aborted.
            may_close: Returns whether the connection may close after it. It
                stays open for responses to requests that have been read.
            is_http_10: Whether the caller uses HTTP/1.0, which has no chunked
                coding.
        """
        self.started = False
        self.ended = False
        self.is_aborted = False
        self.closes_connection = False
        self._write = write
        self._drain = drain
        self._on_end = on_end
        self._may_close = may_close
        self._is_http_10 = is_http_10
        self._may_write = asyncio.Event()
        self._is_sent = False
        self._wants_close = False
        # Lines of a head that was not sent yet.
        self._head_lines: list[bytes] = []
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
            close: Whether to close the connection after this response, if no
                other one follows.
        """
        self.started = True
        self._wants_close = close
        lines = [b"HTTP/1.1 %d %s" % (status, _reason_phrase(status))]
        lines.extend(b"%b: %b" % header for header in headers)
        if length is not None:
            if status not in (204, 304):
                lines.append(b"content-length: %d" % length)
        elif self._is_http_10:
            self._ends_with_connection = True
        else:
            self._chunked = True
            lines.append(b"transfer-encoding: chunked")
        self._head_lines = lines
        if self._may_write.is_set():
            self.flush()

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

    def discard(self) -> None:
        """Drops what was written if no byte was sent, so that it may restart.

        A response that waits behind an earlier one has not been sent.
        """
        if self.ended or self._is_sent:
            return
        self.started = False
        self._head_lines.clear()
        self._chunked = False
        self._ends_with_connection = False
        self._buffered.clear()

    def abort(self) -> None:
        """Ends an incomplete response; the connection closes after it."""
        if self.ended:
            return
        self.ended = self.is_aborted = True
        self._on_end(self)

    @property
    def held_bytes(self) -> int:
        """Bytes that wait for earlier responses."""
        return len(self._buffered)

    @property
    def needs_reset(self) -> bool:
        """Whether a regular close would make it look complete."""
        return self.is_aborted and self._is_sent and self._ends_with_connection

    def flush(self) -> None:
        """Sends the buffered bytes once all earlier responses are complete."""
        self._may_write.set()
        if self.is_aborted or not self._head_lines:
            return
        self._is_sent = True
        self._write(self._take_head() + bytes(self._buffered))
        self._buffered.clear()

    def _take_head(self) -> bytes:
        """Returns the head, complete now that its bytes are sent."""
        lines, self._head_lines = self._head_lines, []
        self.closes_connection = self._ends_with_connection or (
            self._wants_close and self._may_close(self)
        )
        if self.closes_connection:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

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

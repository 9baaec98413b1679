"""Client side of an HTTP/1.1 connection to an upstream."""

import asyncio
import socket

import httptools

from bramleyworks import errors
from bramleyworks.gateway import excess_limit
from bramleyworks.gateway import upstream_response
from bramleyworks.platform import header_names

# The kernel drops the connection if sent data stays unacknowledged this long.
# Shorter than any route's timeout, longer than several round trips between
# regions.
TCP_USER_TIMEOUT_MS = 2000
# Statuses that a response can have; the parser accepts any three digits.
MIN_STATUS = 100
MAX_STATUS = 599
# Step of errors of connections that break during a request.
CONNECTION_LOST_STEP = "upstream.read"


class UpstreamConn(asyncio.Protocol):
    """Runs one exchange at a time.

    A response is matched to its request by the request id that the upstream
    echoes, because a faulty upstream may send an extra or late response where
    the next one is expected.

    Attributes:
        idle_since: Loop time in seconds at which the last exchange ended.
        idle_timeout_s: Keep-alive timeout announced by the upstream, None if
            it announced none.
        exchange_count: Number of exchanges started.
    """

    def __init__(self, upstream_id: str):
        """Initializes a connection that is not open yet.

        Args:
            upstream_id: Id of the upstream, for error messages.
        """
        self.idle_since = 0.0
        self.idle_timeout_s: float | None = None
        self.exchange_count = 0
        self._upstream_id = upstream_id
        self._transport: asyncio.Transport | None = None
        self._response: upstream_response.UpstreamResponse | None = None
        self._request_id = b""
        self._is_head_request = False
        self._body_sent = True
        self._usable = True
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_skipping = False
        self._ends_with_connection = False
        self._excess = excess_limit.ExcessLimit()
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sets the socket options of a new connection."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may start."""
        return (
            self._usable
            and self._response is None
            and not self._transport.is_closing()
        )

    def start(
        self, head: bytes, request_id: bytes, is_head: bool, has_body: bool
    ) -> upstream_response.UpstreamResponse:
        """Sends the head of a request.

        Args:
            head: Request line, headers and, unless it is streamed, the body.
            request_id: Id that the response has to echo.
            is_head: Whether it is a HEAD request, whose response has no body.
            has_body: Whether the body follows by calls of ``send``.

        Returns:
            The response, whose head has not been received.
        """
        self._response = upstream_response.UpstreamResponse(self._set_reading)
        self._request_id = request_id
        self._is_head_request = is_head
        self._body_sent = not has_body
        self._excess.reset()
        self.exchange_count += 1
        self._transport.write(head)
        return self._response

    async def send(self, chunk: bytes) -> None:
        """Sends bytes of the request's body."""
        self._transport.write(chunk)
        await self._writable.wait()

    def end_body(self) -> None:
        """Marks the request's body as sent."""
        self._body_sent = True

    def abort(self) -> None:
        """Closes the connection, which cancels the request."""
        self._usable = False
        if self._transport is not None:
            self._transport.abort()

    def fail(self, step: str, reason: str) -> None:
        """Fails the exchange in flight and closes the connection.

        Args:
            step: Step of the error.
            reason: What went wrong.
        """
        self._fail_response(step, reason)
        self.abort()

    def pause_writing(self) -> None:
        """Blocks ``send`` while the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblocks ``send``."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes if no response is expected."""
        if self._response is None:
            # An unsolicited response, or bytes that are not HTTP.
            self.abort()
            return
        self._excess.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail_response(
                "upstream.parse", "the upstream changed the protocol"
            )
            self.abort()
        except httptools.HttpParserError as exc:
            self._fail_response("upstream.parse", str(exc))
            self.abort()
        else:
            if self._excess.is_exceeded and self._response is not None:
                self._fail_response(
                    "upstream.excess", "too many bytes beside the response"
                )
                self.abort()

    def eof_received(self) -> None:
        """Completes a response that is delimited by the connection close."""
        if self._ends_with_connection and self._response is not None:
            self._usable = False
            self._finish_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in flight."""
        self._usable = False
        self._writable.set()
        self._fail_response(
            CONNECTION_LOST_STEP,
            str(exc) if exc else "the connection was closed",
        )

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Resets the parser state for a new response."""
        self._headers = []
        if self._response is None:
            self._usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Passes on the head if it belongs to the request in flight."""
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._is_skipping = True
            self._fail_response("upstream.status", f"status {status:03d}")
            self.abort()
            return
        self._is_skipping = self._response is None or 100 <= status < 200
        if self._is_skipping:
            return
        headers = dict(self._headers)
        # An empty id names no request.
        echoed = headers.get(header_names.REQUEST_ID) or None
        if (
            echoed is None
            and self._request_id
            and self.exchange_count > 1
            and header_names.SIGNATURE in headers
        ):
            # It may be a late copy of the response to an earlier request.
            # Refusals are unsigned and need not name their request.
            self._is_skipping = True
            self._fail_response(
                "upstream.unidentified", "the response names no request"
            )
            self.abort()
            return
        if echoed is not None and echoed != self._request_id:
            # An extra response to an earlier request; the right one follows.
            self._is_skipping = True
            return
        if not self._parser.should_keep_alive():
            self._usable = False
        if echoed is None and self._request_id:
            # A copy of it could not be told from the next response.
            self._usable = False
        self._record_keep_alive(headers.get(b"keep-alive"))
        length = self._body_length(status, headers)
        self._response.feed_head(status, self._headers, length)
        if self._is_head_request:
            self._usable = False
            self._finish_response()

    def on_body(self, chunk: bytes) -> None:
        """Passes on bytes of the body."""
        if self._is_skipping or self._response is None:
            self._excess.add_discarded(len(chunk))
            return
        self._excess.add_body(len(chunk))
        self._response.feed_body(chunk)

    def on_message_complete(self) -> None:
        """Completes the response."""
        if not self._is_skipping:
            self._finish_response()

    def _body_length(
        self, status: int, headers: dict[bytes, bytes]
    ) -> int | None:
        if self._is_head_request or status in (204, 304):
            return 0
        if b"transfer-encoding" in headers:
            return None
        if b"content-length" in headers:
            return int(headers[b"content-length"])
        self._ends_with_connection = True
        return None

    def _record_keep_alive(self, value: bytes | None) -> None:
        for part in (value or b"").split(b","):
            name, _, text = part.strip().partition(b"=")
            if name.lower() == b"timeout" and text.isdigit():
                self.idle_timeout_s = float(text)

    def _finish_response(self) -> None:
        res, self._response = self._response, None
        if res is None:
            return
        if not self._body_sent:
            # The unsent rest of the body would be read as the next request.
            self._usable = False
        res.finish()
        if not self._usable and self._body_sent:
            self._transport.close()

    def _fail_response(self, step: str, reason: str) -> None:
        res, self._response = self._response, None
        if res is not None:
            res.fail(
                errors.UpstreamError(
                    step, self._upstream_id, reason, not_run=False
                )
            )

    def _set_reading(self, reading: bool) -> None:
        if self._transport.is_closing():
            return
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

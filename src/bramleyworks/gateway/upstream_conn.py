"""One connection to an upstream."""

import asyncio
import socket

import httptools

from bramleyworks import errors
from bramleyworks.gateway import upstream_response as answer_module
from bramleyworks.platform import header_names

# Time after which unacknowledged data counts as a lost connection; shorter
# than any route's time-out, longer than several round trips between regions.
TCP_USER_TIMEOUT_MS = 2000


class UpstreamConn(asyncio.Protocol):
    """Carries one exchange at a time.

    An answer is matched to its request by the id that the upstream echoes: an
    upstream may send an extra answer, also late, where the next is expected.

    Attributes:
        idle_since: Loop time at which the last exchange ended.
        idle_limit_s: Time for which the upstream keeps it open when idle.
        uses: Exchanges begun on it.
    """

    def __init__(self, upstream_id: str):
        """Creates a connection that is not open yet.

        Args:
            peer: Upstream, for errors.
        """
        self.idle_since = 0.0
        self.idle_timeout_s: float | None = None
        self.exchange_count = 0
        self._upstream_id = upstream_id
        self._transport: asyncio.Transport | None = None
        self._response: answer_module.UpstreamResponse | None = None
        self._request_id = b""
        self._is_head_request = False
        self._body_sent = True
        self._usable = True
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_skipping = False
        self._ends_with_connection = False
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
        """Whether another exchange may begin."""
        return (
            self._usable
            and self._response is None
            and not self._transport.is_closing()
        )

    def start(
        self, head: bytes, request_id: bytes, is_head: bool, has_body: bool
    ) -> answer_module.UpstreamResponse:
        """Sends the head of a request.

        Args:
            head: Request line, headers and, if it is all there, the body.
            request_id: Id that the answer has to repeat.
            is_head: Whether the answer has no body whatever its head says.
            has_body: Whether ``send`` follows.

        Returns:
            The answer, which is yet to arrive.
        """
        self._response = answer_module.UpstreamResponse(self._set_reading)
        self._request_id = request_id
        self._is_head_request = is_head
        self._body_sent = not has_body
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
        """Closes the connection at once, which cancels the request."""
        self._usable = False
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Holds ``send`` back while the upstream does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets ``send`` go on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parses bytes of the answer."""
        if self._response is None:
            # Nothing was asked: an extra answer, or bytes of no protocol.
            self.abort()
            return
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

    def eof_received(self) -> None:
        """Ends an answer whose end is that of the connection."""
        if self._ends_with_connection and self._response is not None:
            self._usable = False
            self._finish_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the running exchange."""
        self._usable = False
        self._writable.set()
        self._fail_response(
            "upstream.read", str(exc) if exc else "the connection was closed"
        )

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begins an answer."""
        self._headers = []
        if self._response is None:
            self._usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Takes the head if it belongs to the running request."""
        status = self._parser.get_status_code()
        self._is_skipping = self._response is None or 100 <= status < 200
        if self._is_skipping:
            return
        headers = dict(self._headers)
        echoed = headers.get(header_names.REQUEST_ID)
        if echoed is not None and echoed != self._request_id:
            # An extra answer to an earlier request; ours follows.
            self._is_skipping = True
            return
        if not self._parser.should_keep_alive():
            self._usable = False
        self._record_keep_alive(headers.get(b"keep-alive"))
        length = self._body_length(status, headers)
        self._response.feed_head(status, self._headers, length)
        if self._is_head_request:
            self._usable = False
            self._finish_response()

    def on_body(self, chunk: bytes) -> None:
        """Takes bytes of the body."""
        if not self._is_skipping and self._response is not None:
            self._response.feed_body(chunk)

    def on_message_complete(self) -> None:
        """Ends an answer."""
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
        ended, self._response = self._response, None
        if ended is None:
            return
        if not self._body_sent:
            # What is left of the body must not reach the next request.
            self._usable = False
        ended.finish()
        if not self._usable and self._body_sent:
            self._transport.close()

    def _fail_response(self, step: str, reason: str) -> None:
        failed, self._response = self._response, None
        if failed is not None:
            failed.fail(
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

"""A caller's connection."""

import asyncio
import collections
import socket
from collections.abc import Callable

import httptools

from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import response as response_module

# Requests of one connection that run at the same time; more stay unread.
MAX_PIPELINED_REQUESTS = 16
# Time after which unacknowledged data counts as a lost connection.
TCP_USER_TIMEOUT_MS = 5000

Handler = Callable[
    [request_module.Request, response_module.Response], asyncio.Task
]


class FrontConn(asyncio.Protocol):
    """Reads requests, runs them side by side and answers them in order.

    Attributes:
        is_draining: Whether the connection ends as soon as it is idle.
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], limits_module.Limits],
        clock: Callable[[], float],
        on_opened: Callable[["FrontConn"], None],
        on_closed: Callable[["FrontConn"], None],
    ):
        """Creates a connection that is not open yet.

        Args:
            handle: Starts the exchange of one request.
            limits: Returns the bounds in force.
            clock: Monotonic time in seconds.
            opened: Told when the connection is open.
            closed: Told when it has ended.
        """
        self.is_draining = False
        self._handle = handle
        self._limits = limits
        self._clock = clock
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._running: collections.deque[
            tuple[response_module.Response, asyncio.Task | None]
        ] = collections.deque()
        self._incoming: request_module.Request | None = None
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._head_started_s: float | None = None
        self._idle_since_s = clock()
        self._last_request = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._unparsed = b""

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sets the socket options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._on_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the running requests; their caller has left."""
        self._writable.set()
        for _, task in self._running:
            if task is not None:
                task.cancel()
        self._running.clear()
        self._on_closed(self)

    def eof_received(self) -> None:
        """Closes the connection; callers do not half-close theirs."""

    def pause_writing(self) -> None:
        """Holds responses back while the caller does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets responses go on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parses bytes of requests."""
        if self._last_request and self._incoming is None:
            return
        if len(self._running) >= MAX_PIPELINED_REQUESTS:
            self._unparsed += data
            self._transport.pause_reading()
            return
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        if self._incoming is None and self._head_started_s is None:
            self._head_started_s = self._clock()
        if self._incoming is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, b"upgrades are not supported")
        except httptools.HttpParserError as exc:
            self._refuse(400, str(exc).encode())
        else:
            limit = self._limits().header_bytes
            if self._incoming is None and self._head_bytes > limit:
                self._refuse(431, b"the request head is too long")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._target = b""
        self._headers = []
        if self._head_started_s is None:
            self._head_started_s = self._clock()

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Starts the exchange of a request."""
        self._head_started_s = None
        self._head_bytes = 0
        if self._last_request:
            return
        req = request_module.Request(self._set_reading)
        req.method = self._parser.get_method()
        req.target = self._target
        req.headers = self._headers
        req.received_s = self._clock()
        req.keep_alive = self._parser.should_keep_alive()
        req.is_http_10 = self._parser.get_http_version() == "1.0"
        problem = self._check_head(req)
        if problem is not None:
            self._refuse(*problem)
            return
        self._incoming = req
        if not req.keep_alive:
            self._last_request = True
        res = self._new_response(req.is_http_10)
        if req.get(b"expect") == b"100-continue" and len(self._running) == 0:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        task = self._handle(req, res)
        self._running.append((res, task))
        if len(self._running) == 1:
            res.flush()

    def on_body(self, chunk: bytes) -> None:
        """Takes bytes of a request's body."""
        req = self._incoming
        if req is None:
            return
        req.feed(chunk)
        if req.body_bytes > self._limits().body_bytes:
            self._refuse(413, b"the request body is too long")

    def on_message_complete(self) -> None:
        """Ends a request."""
        if self._incoming is not None:
            self._incoming.finish()
            self._incoming = None

    # Used by the server.

    def check_timeouts(self) -> None:
        """Closes the connection if the caller has used up its time."""
        now_s = self._clock()
        limits = self._limits()
        if self._running or self._transport.is_closing():
            return
        if self._head_started_s is not None:
            if now_s - self._head_started_s > limits.header_timeout_s:
                self._refuse(408, b"the request head took too long")
        elif self.is_draining or (
            now_s - self._idle_since_s > limits.idle_timeout_s
        ):
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()

    @property
    def is_busy(self) -> bool:
        """Whether a request runs."""
        return bool(self._running)

    def _check_head(
        self, req: request_module.Request
    ) -> tuple[int, bytes] | None:
        """Returns why the framing of a request can not be trusted."""
        if req.count(b"host") != 1:
            return 400, b"exactly one Host header is required"
        if not req.target.startswith(b"/"):
            return 400, b"the target must be a path"
        lengths = req.count(b"content-length")
        codings = req.count(b"transfer-encoding")
        if lengths > 1 or codings > 1 or (lengths and codings):
            return 400, b"the length of the body is ambiguous"
        if codings:
            if req.get(b"transfer-encoding").strip().lower() != b"chunked":
                return 400, b"the transfer coding is unknown"
            req.length = None
        elif lengths:
            text = req.get(b"content-length").strip()
            if not text.isdigit():
                return 400, b"the length of the body is no number"
            req.length = int(text)
            if req.length > self._limits().body_bytes:
                return 413, b"the request body is too long"
        if self._head_size(req) > self._limits().header_bytes:
            return 431, b"the request head is too long"
        return None

    def _head_size(self, req: request_module.Request) -> int:
        # A header line holds a colon, a blank and a line end besides.
        size = len(req.method) + len(req.target) + len(" HTTP/1.1 \r\n\r\n")
        return size + sum(len(n) + len(v) + 4 for n, v in req.headers)

    def _new_response(self, is_http_10: bool) -> response_module.Response:
        return response_module.Response(
            self._write,
            self._drain,
            self._on_response_end,
            self.abort,
            is_http_10,
        )

    def _refuse(self, status: int, reason: bytes) -> None:
        """Answers bytes that can not be read on, and ends the connection."""
        self._last_request = True
        if self._incoming is not None:
            # The exchange of this request must not see the rest.
            self._incoming = None
            started, task = self._running[-1]
            if started.started or task is None:
                self.abort()
                return
            self._running.pop()
            task.cancel()
        res = self._new_response(False)
        self._running.append((res, None))
        if len(self._running) == 1:
            res.flush()
        headers = [(b"content-type", b"text/plain")]
        res.write_complete(status, headers, reason, close=True)

    def _on_response_end(self, res: response_module.Response) -> None:
        """Sends the responses that are complete, in order."""
        while self._running and self._running[0][0].ended:
            first, _ = self._running.popleft()
            self._idle_since_s = self._clock()
            if first.closes_connection:
                self._close()
                return
            if self._running:
                self._running[0][0].flush()
        if self._unparsed and len(self._running) < MAX_PIPELINED_REQUESTS:
            data, self._unparsed = self._unparsed, b""
            self._transport.resume_reading()
            self._feed(data)

    def _close(self) -> None:
        """Closes after the last response; later requests were not read."""
        self._last_request = True
        for _, task in self._running:
            if task is not None:
                task.cancel()
        self._running.clear()
        if not self._transport.is_closing():
            self._transport.close()

    def _write(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)

    async def _drain(self) -> None:
        await self._writable.wait()

    def _set_reading(self, reading: bool) -> None:
        if self._transport.is_closing():
            return
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

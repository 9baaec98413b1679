"""Server side of a caller's HTTP/1.1 connection."""

import asyncio
import collections
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Callable
from collections.abc import Sequence

import httptools

from bramleyworks.gateway import client_accounts
from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import shared_buffer
from bramleyworks.platform import header_names
from bramleyworks.policy import client_ledger

# Pipelined requests that run concurrently; reading pauses beyond them.
MAX_PIPELINED_REQUESTS = 16
# The kernel drops the connection if sent data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 5000
# Time for the caller to close its side after the last response. A socket that
# is closed before discards what the caller has not received yet.
LINGER_S = 5.0
# Discards unsent data and resets the connection on close.
LINGER_DISABLED = struct.pack("ii", 1, 0)
HTTP_VERSIONS = ("1.0", "1.1")
# Bytes parsed at once, since the parser can not be stopped within them. A chunk
# of one byte takes 6, a short field 8.
PARSE_BYTES = 2048
HEAD_END = b"\r\n\r\n"
# Received bytes of a body that count as progress of its caller.
PROGRESS_BYTES = 16 * 1024
# When a request that was refused for want of memory may come again, in seconds.
RETRY_AFTER = b"0.5"

Handler = Callable[
    [request_module.Request, response_module.Response], asyncio.Task
]


def slice_end(data: bytes, start: int) -> int:
    """Returns the end of the next bytes to parse.

    They hold the end of one request head at most.
    """
    end = min(len(data), start + PARSE_BYTES)
    found = data.find(HEAD_END, start, end)
    return end if found < 0 else found + len(HEAD_END)


class FrontConn(asyncio.BufferedProtocol):
    """Runs pipelined requests concurrently and responds in order.

    It reads a bounded number of bytes, and parses them in slices. When these
    have taken more work than a client may use at once, or while the caller does
    not read responses, the rest waits and reading is paused.

    Attributes:
        is_draining: Whether the connection closes as soon as it is idle.
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], limits_module.Limits],
        clock: Callable[[], float],
        on_opened: Callable[["FrontConn"], None],
        on_closed: Callable[["FrontConn"], None],
        accounts: client_accounts.ClientAccounts | None = None,
        listener: str = "entry",
    ):
        """Initializes a connection that is not open yet.

        Args:
            handle: Starts the task that handles a request.
            limits: Returns the limits in force.
            clock: Monotonic time in seconds.
            on_opened: Called when the connection is open.
            on_closed: Called when the connection is lost.
            accounts: Accounts of all clients, None to take nothing back.
            listener: Name of the listener in them.
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
            tuple[
                response_module.Response,
                asyncio.Task | None,
                request_module.Request | None,
            ]
        ] = collections.deque()
        self._incoming: request_module.Request | None = None
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._head_started_s: float | None = None
        self._idle_since_s = clock()
        self._last_request = False
        # When a connection that waits for the caller to close it is closed.
        self._linger_ends_s: float | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._unparsed = b""
        # Whether the parser gets the framing of a request that it has read.
        self._is_reframing = False
        self._accounts = accounts or client_accounts.unbounded(clock)
        self._listener = listener
        self._account: client_ledger.Account | None = None
        # Units of work since the last step began.
        self._units = 0
        # Whether a step waits in the scheduler.
        self._is_deferred = False
        self._is_lost = False
        self._body_progress_bytes = 0
        # Tasks of a lost connection that are not cancelled yet.
        self._orphans: collections.deque[asyncio.Task] = collections.deque()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sets the socket options and registers the connection."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._on_opened(self)
        if not transport.is_closing():
            self._account = self._accounts.open(self._listener, self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests in flight, since the caller is gone.

        The first one is cancelled at once, the others within the work that a
        client may use in a turn.
        """
        self._is_lost = True
        self._unparsed = b""
        self._incoming = None
        self._writable.set()
        self._orphans.extend(t for _, t, _ in self._running if t is not None)
        self._running.clear()
        if self._orphans:
            self._orphans.popleft().cancel()
        if self._orphans:
            self._accounts.scheduler.add(self._cancel_orphans)
        if self._account is not None:
            self._accounts.close(self._account)
        self._on_closed(self)

    def _cancel_orphans(self, max_units: int) -> tuple[int, bool]:
        units = 0
        while self._orphans and units < max_units:
            self._orphans.popleft().cancel()
            units += client_accounts.CANCEL_UNITS
        return units, bool(self._orphans)

    def eof_received(self) -> None:
        """Closes the connection; half-closed connections are unsupported."""

    def pause_writing(self) -> None:
        """Blocks response writers while the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblocks response writers, and parses on."""
        self._writable.set()
        self._defer()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for received bytes."""
        del sizehint
        return shared_buffer.VIEW

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes, or holds them while the pipeline is full."""
        if self._linger_ends_s is not None:
            return
        if self._last_request and self._incoming is None:
            return
        data = bytes(shared_buffer.VIEW[:nbytes])
        if self._is_plain(data):
            self._feed(data)
            if self._incoming is None and self._head_started_s is None:
                # Counted at the next check if it still runs by then.
                return
        elif self._unparsed or self._is_deferred:
            self._unparsed += data
            self._transport.pause_reading()
        else:
            self._unparsed = data
            self._parse(self._accounts.scheduler.client_units)
        self._update_account()

    def _is_plain(self, data: bytes) -> bool:
        """Returns whether data is one head at most on an idle connection.

        Most requests come like this and need no further checks.
        """
        if (
            self._running
            or self._unparsed
            or self._is_deferred
            or self._incoming is not None
            or len(data) > PARSE_BYTES
            or not self._writable.is_set()
        ):
            return False
        end = data.find(HEAD_END)
        return end < 0 or end + len(HEAD_END) == len(data)

    def _parse(self, max_units: int) -> None:
        """Parses what may be parsed now, and arranges for the rest.

        Args:
            max_units: Units of work after which the rest is left for later.
        """
        self._units = 0
        data, self._unparsed = self._unparsed, b""
        end = 0
        while end < len(data) and self._may_parse():
            if self._units >= max_units:
                self._defer_rest(data[end:])
                return
            start, end = end, self._slice_end(data, end)
            if start == 0 and end == len(data):
                self._feed(data)
            else:
                self._feed(data[start:end])
        if end < len(data) and not self._is_ignoring():
            # Parsed once a response ends or the caller has read some.
            self._unparsed = data[end:] + self._unparsed
            self._transport.pause_reading()

    def _slice_end(self, data: bytes, start: int) -> int:
        """Returns the end of the next bytes to parse."""
        req = self._incoming
        if req is not None and req.length is not None:
            left = req.length - req.body_bytes
            if left > 0:
                return min(len(data), start + left)
        return slice_end(data, start)

    def _is_ignoring(self) -> bool:
        """Returns whether received bytes are dropped."""
        return (
            self._is_lost
            or self._linger_ends_s is not None
            or self._transport.is_closing()
            or (self._last_request and self._incoming is None)
        )

    def _may_parse(self) -> bool:
        """Returns whether a body goes on, or another request may begin."""
        return not self._is_ignoring() and (
            self._incoming is not None
            or (
                len(self._running) < MAX_PIPELINED_REQUESTS
                and self._writable.is_set()
            )
        )

    def _defer_rest(self, rest: bytes) -> None:
        self._unparsed = rest + self._unparsed
        self._transport.pause_reading()
        self._defer()

    def _defer(self) -> None:
        """Leaves unparsed bytes for a later step."""
        if self._unparsed and not self._is_deferred and not self._is_lost:
            self._is_deferred = True
            self._accounts.scheduler.add(self._run_step)

    def _run_step(self, max_units: int) -> tuple[int, bool]:
        self._is_deferred = False
        if self._is_ignoring():
            self._unparsed = b""
            return 0, False
        self._units = 0
        if self._unparsed and self._may_parse():
            self._parse(max_units)
        if not self._unparsed and not self._is_body_paused():
            self._resume_reading()
        self._update_account()
        return self._units, False

    def _is_body_paused(self) -> bool:
        return self._incoming is not None and self._incoming.is_paused

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _update_account(self) -> None:
        """Tells the accounts what the connection holds."""
        account = self._account
        if account is None or not account.is_open:
            return
        held_bytes = client_accounts.CONN_BYTES + len(self._unparsed)
        if self._head_started_s is not None:
            held_bytes += self._head_bytes
            held_bytes += len(self._headers) * client_accounts.FIELD_BYTES
        for res, task, req in self._running:
            if task is not None:
                held_bytes += client_accounts.REQUEST_BYTES + req.held_bytes
                held_bytes += len(req.headers) * client_accounts.FIELD_BYTES
            held_bytes += res.held_bytes
        unsent_bytes = self._transport.get_write_buffer_size()
        if (
            self._running
            and not unsent_bytes
            and not self._unparsed
            and self._incoming is None
            and self._head_started_s is None
        ):
            # The client has sent all, and waits for an upstream.
            account.progress_s = self._clock()
        self._accounts.update(account, held_bytes + unsent_bytes)

    def _feed(self, data: bytes) -> None:
        if self._incoming is None and self._head_started_s is None:
            self._head_started_s = self._clock()
        if self._incoming is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            self._ignore_upgrade(data[exc.args[0] :])
        except httptools.HttpParserError as exc:
            self._refuse(400, str(exc).encode())
        else:
            limit = self._limits().header_bytes
            if self._incoming is None and self._head_bytes > limit:
                self._refuse(431, b"the request head is too long")

    def _ignore_upgrade(self, rest: bytes) -> None:
        """Parses on behind a head that offers an upgrade.

        The parser takes the bytes behind it for another protocol. A new one
        gets the framing of the request, and then its body.

        Args:
            rest: Bytes received behind the head.
        """
        self._parser = httptools.HttpRequestParser(self)
        req = self._incoming
        if req is not None:
            framing = (
                b"transfer-encoding: chunked"
                if req.length is None
                else b"content-length: %d" % req.length
            )
            self._is_reframing = True
            self._parser.feed_data(
                b"POST / HTTP/1.1\r\n" + framing + b"\r\n\r\n"
            )
            self._is_reframing = False
        if rest:
            self._feed(rest)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Resets the parser state for a new request."""
        if self._is_reframing:
            return
        self._target = b""
        self._headers = []
        if self._head_started_s is None:
            self._head_started_s = self._clock()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._units += 1
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks the request head and starts the request's handler."""
        if self._is_reframing:
            return
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
        rejection = self._check_head(req)
        if rejection is not None:
            self._refuse(*rejection)
            return
        self._incoming = req
        self._body_progress_bytes = 0
        if not req.keep_alive:
            self._last_request = True
        res = self._new_response(req.is_http_10)
        if req.get(b"expect") == b"100-continue" and len(self._running) == 0:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        task = self._handle(req, res)
        self._units += client_accounts.REQUEST_UNITS
        self._running.append((res, task, req))
        if len(self._running) == 1:
            res.flush()

    def on_body(self, chunk: bytes) -> None:
        """Passes body bytes to the request."""
        self._units += 1
        req = self._incoming
        if req is None:
            return
        req.feed(chunk)
        if req.body_bytes - self._body_progress_bytes > PROGRESS_BYTES:
            self._body_progress_bytes = req.body_bytes
            if self._account is not None:
                self._account.progress_s = self._clock()
        if req.body_bytes > self._limits().body_bytes:
            self._refuse(413, b"the request body is too long")

    def on_message_complete(self) -> None:
        """Marks the request's body as complete."""
        if self._incoming is not None and not self._parser.should_upgrade():
            self._incoming.finish()
            self._incoming = None

    # Used by the server.

    def check_timeouts(self) -> None:
        """Closes the connection after a header or idle timeout."""
        if self.is_busy or self._unparsed:
            self._update_account()
        now_s = self._clock()
        limits = self._limits()
        if self._linger_ends_s is not None:
            has_unsent = self._has_unsent()
            if self._account is not None:
                self._account.is_ending = not has_unsent
            if now_s > self._linger_ends_s and not has_unsent:
                self._transport.close()
            return
        if self._running or self._is_deferred or self._transport.is_closing():
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

    def reclaim(self) -> str:
        """Gives back the memory that the connection holds.

        A request that was not passed on is refused, so that the caller knows
        that it has not run. Otherwise the connection is closed.

        Returns:
            What was done.
        """
        if not self._may_refuse():
            self._drop_received()
            self.reset()
            return client_accounts.CLOSED
        if self._incoming is not None:
            # Its task ends in the next turn only, and others send meanwhile.
            self._incoming.discard()
        fields = [(header_names.RETRY_AFTER, RETRY_AFTER)]
        if self._listener == client_ledger.PEERS:
            fields.append((header_names.NOT_RUN, b"1"))
        self._refuse(503, b"the VM holds too much for its callers", fields)
        self._drop_received()
        return client_accounts.REFUSED

    def close_early(self) -> str:
        """Gives back the connection itself.

        Returns:
            What was done.
        """
        if self.is_busy or self._head_started_s is not None:
            self._drop_received()
            self.reset()
        else:
            self._transport.close()
        return client_accounts.CLOSED

    def _drop_received(self) -> None:
        """Drops what was received and belongs to no request yet."""
        self._unparsed = b""
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._head_started_s = None

    def _may_refuse(self) -> bool:
        """Returns whether the only request is known to never run."""
        if self._is_ignoring() or not self._writable.is_set():
            return False
        if not self._running:
            return self._incoming is None and self._head_started_s is not None
        if len(self._running) > 1:
            return False
        res, _, req = self._running[0]
        return (
            req is not None
            and req is self._incoming
            and not req.is_passed_on
            and not res.started
        )

    def reset(self) -> None:
        """Closes the connection so that the caller sees an error."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_DISABLED
            )
        self._transport.abort()

    @property
    def host(self) -> str:
        """Address of the remote side, empty if it is gone already."""
        peername = self._transport.get_extra_info("peername")
        return peername[0] if peername else ""

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight, or a response not yet sent."""
        return bool(self._running) or self._has_unsent()

    def _has_unsent(self) -> bool:
        """Returns whether the caller's host has not received all responses."""
        if self._transport.get_write_buffer_size() > 0:
            return True
        sock = self._transport.get_extra_info("socket")
        if (
            self._linger_ends_s is None
            or sock is None
            or self._transport.is_closing()
        ):
            return False
        unsent = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return int.from_bytes(unsent, sys.byteorder) > 0

    def _check_head(
        self, req: request_module.Request
    ) -> tuple[int, bytes] | None:
        """Checks the framing and sets the request's body length.

        Ambiguous framing is rejected, since it allows request smuggling.

        Returns:
            Status and reason of a rejection, None if the head is valid.
        """
        if req.count(b"host") != 1:
            return 400, b"exactly one Host header is required"
        if self._parser.get_http_version() not in HTTP_VERSIONS:
            return 400, b"the HTTP version is missing or unsupported"
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
        # Each header line adds a colon, a space and CRLF.
        size = len(req.method) + len(req.target) + len(" HTTP/1.1 \r\n\r\n")
        return size + sum(len(n) + len(v) + 4 for n, v in req.headers)

    def _new_response(self, is_http_10: bool) -> response_module.Response:
        return response_module.Response(
            self._write,
            self._drain,
            self._on_response_end,
            self._may_close_after,
            is_http_10,
        )

    def _refuse(
        self,
        status: int,
        reason: bytes,
        fields: Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Responds to a request that can not be parsed further and closes.

        Args:
            status: Status code.
            reason: Body of the response.
            fields: Further header fields.
        """
        self._last_request = True
        if self._incoming is not None:
            # The handler of this request must not receive the rest of its body.
            self._incoming = None
            if not self._running:
                # It has been answered; a second response would be another's.
                self._close()
                return
            current, task, _ = self._running[-1]
            if current.ended:
                return
            task.cancel()
            current.discard()
            if current.started:
                current.abort()
                return
            self._running.pop()
        res = self._new_response(False)
        self._running.append((res, None, None))
        if len(self._running) == 1:
            res.flush()
        headers = [(b"content-type", b"text/plain"), *fields]
        res.write_complete(status, headers, reason, close=True)

    def _on_response_end(self, res: response_module.Response) -> None:
        """Advances past complete responses and reads on if paused."""
        if self._is_lost:
            return
        now_s = self._clock()
        account = self._account
        if account is not None:
            account.progress_s = now_s
            account.is_served = True
        while self._running and self._running[0][0].ended:
            first, _, _ = self._running.popleft()
            self._idle_since_s = now_s
            if first.needs_reset:
                self.reset()
                return
            if first.closes_connection or first.is_aborted:
                self._close()
                return
            if self._running:
                self._running[0][0].flush()
        if self._last_request and self._incoming is None and not self._running:
            self._close()
            return
        if self._unparsed:
            self._defer()
        if (
            self._running
            or not self._writable.is_set()
            or (
                account is not None
                and account.held_bytes != client_accounts.CONN_BYTES
            )
        ):
            self._update_account()

    def _may_close_after(self, res: response_module.Response) -> bool:
        """Returns whether a response is the last one, and reads no more."""
        if self._running and self._running[-1][0] is not res:
            return False
        self._last_request = True
        return True

    def _close(self) -> None:
        """Ends the responses and cancels the requests still in flight.

        What the caller still sends is read and dropped until it closes, since
        closing a socket with unread bytes resets the connection.
        """
        self._last_request = True
        for _, task, _ in self._running:
            if task is not None:
                task.cancel()
        self._running.clear()
        if not self._transport.is_closing() and self._linger_ends_s is None:
            self._linger_ends_s = self._clock() + LINGER_S
            self._incoming = None
            self._drop_received()
            self._transport.write_eof()
            self._transport.resume_reading()

    def _write(self, data: bytes) -> None:
        if not self._transport.is_closing() and self._linger_ends_s is None:
            self._transport.write(data)

    async def _drain(self) -> None:
        await self._writable.wait()

    def _set_reading(self, reading: bool) -> None:
        if self._transport.is_closing():
            return
        if reading and not self._unparsed:
            # The body of a later request may have paused reading meanwhile.
            if not self._is_body_paused():
                self._transport.resume_reading()
        elif reading:
            self._defer()
        else:
            self._transport.pause_reading()

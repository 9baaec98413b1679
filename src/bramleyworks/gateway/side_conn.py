"""Bounds what clients of the HTTP interfaces beside the request path may do.

uvicorn serves these. It bounds neither heads nor pipelined requests, and parses
all that it receives in one turn of the event loop. A connection here reads a
bounded number of bytes, and passes them on in slices.
"""

import asyncio
import functools
import logging
import socket
from collections.abc import Callable
from collections.abc import Mapping

from uvicorn.protocols.http import flow_control

from bramleyworks.daemon import server as server_module
from bramleyworks.gateway import client_accounts
from bramleyworks.gateway import front_conn
from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import shared_buffer
from bramleyworks.gateway import usage_message
from bramleyworks.policy import client_ledger

# Bytes of a request body. Only the control interface reads one, of counts of
# usage.
MAX_BODY_BYTES = 64 * 1024
MAX_CONTROL_BODY_BYTES = usage_message.MAX_BYTES
CONTROL = "control"
# Time without a request after which a connection is closed, as long as uvicorn
# waits for the next one.
IDLE_TIMEOUT_S = float(server_module.KEEPALIVE_TIMEOUT_S)
# Interval between two warnings of uvicorn with the same text.
WARNING_INTERVAL_S = 1.0
# Period between checks for time limits.
TIMEOUT_CHECK_S = 0.25


class WarningFilter(logging.Filter):
    """Drops repeated warnings, which clients cause as often as they like."""

    def __init__(self, clock: Callable[[], float]):
        super().__init__()
        self._clock = clock
        self._logged_s: dict[str, float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a record is logged."""
        now_s = self._clock()
        last_s = self._logged_s.get(record.msg)
        if last_s is not None and now_s - last_s < WARNING_INTERVAL_S:
            return False
        self._logged_s[record.msg] = now_s
        return True


class SideConns:
    """Owns the connections to the interfaces beside the request path."""

    def __init__(
        self,
        listeners: Mapping[int, str],
        limits: Callable[[], limits_module.Limits],
        accounts: client_accounts.ClientAccounts,
        clock: Callable[[], float],
    ):
        """Initializes without connections.

        Args:
            listeners: Name of the listener of each port.
            limits: Returns the limits in force.
            accounts: Accounts of all clients.
            clock: Monotonic time in seconds.
        """
        self._listeners = listeners
        self._limits = limits
        self._accounts = accounts
        self._clock = clock
        self._conns: set[SideConn] = set()
        self._filter = WarningFilter(clock)

    def create(self, **options) -> "SideConn":
        """Returns the protocol of a new connection, as uvicorn asks for it."""
        return SideConn(
            functools.partial(_HttpProtocol, **options),
            self._listeners,
            self._limits,
            self._accounts,
            self._conns,
            self._clock,
        )

    async def run(self) -> None:
        """Enforces time limits until cancelled."""
        uvicorn_log = logging.getLogger("uvicorn.error")
        uvicorn_log.addFilter(self._filter)
        try:
            while True:
                await asyncio.sleep(TIMEOUT_CHECK_S)
                for conn in list(self._conns):
                    conn.check_timeouts()
        finally:
            uvicorn_log.removeFilter(self._filter)


class SideConn(asyncio.BufferedProtocol):
    """Passes received bytes on to uvicorn's protocol in slices.

    Attributes:
        units: Units of work since the last step began.
    """

    def __init__(
        self,
        create_http: Callable[..., "_HttpProtocol"],
        listeners: Mapping[int, str],
        limits: Callable[[], limits_module.Limits],
        accounts: client_accounts.ClientAccounts,
        conns: set["SideConn"],
        clock: Callable[[], float],
    ):
        """Initializes a connection that is not open yet.

        Args:
            create_http: Creates uvicorn's protocol.
            listeners: Name of the listener of each port.
            limits: Returns the limits in force.
            accounts: Accounts of all clients.
            conns: The open connections.
            clock: Monotonic time in seconds.
        """
        self.units = 0
        self._http = create_http(conn=self)
        self._listeners = listeners
        self._limits = limits
        self._accounts = accounts
        self._conns = conns
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._account: client_ledger.Account | None = None
        self._unparsed = b""
        self._is_deferred = False
        # Whether uvicorn's protocol waits for the response before the next one.
        self._is_paused = False
        self._head_started_s: float | None = None
        self._head_bytes = 0
        self._fields = 0
        self._body_bytes = 0
        self._max_body_bytes = MAX_BODY_BYTES
        self._is_in_body = False
        self._idle_since_s = clock()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Opens the account of the connection."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            front_conn.TCP_USER_TIMEOUT_MS,
        )
        self._conns.add(self)
        self._http.connection_made(transport)
        port = transport.get_extra_info("sockname")[1]
        listener = self._listeners[port]
        self._account = self._accounts.open(listener, self)
        self._max_body_bytes = MAX_BODY_BYTES
        if listener == CONTROL:
            self._max_body_bytes = MAX_CONTROL_BODY_BYTES

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the account."""
        self._unparsed = b""
        self._conns.discard(self)
        self._accounts.close(self._account)
        self._http.connection_lost(exc)

    def eof_received(self) -> None:
        """Closes the connection; half-closed connections are unsupported."""

    def pause_writing(self) -> None:
        """Tells that the send buffer is full."""
        self._http.pause_writing()

    def resume_writing(self) -> None:
        """Tells that the send buffer has room."""
        self._http.resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for received bytes."""
        del sizehint
        return shared_buffer.VIEW

    def buffer_updated(self, nbytes: int) -> None:
        """Passes received bytes on, or holds them."""
        data = bytes(shared_buffer.VIEW[:nbytes])
        is_waiting = bool(self._unparsed)
        self._unparsed += data
        if is_waiting or self._is_deferred:
            self._transport.pause_reading()
        else:
            self._parse(self._accounts.scheduler.client_units)
        self._update_account()

    # Used by uvicorn's protocol.

    def pause_reading(self) -> None:
        """Passes no more bytes on until the response has been sent."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Passes bytes on again."""
        self._is_paused = False
        self._resume()

    def on_head_begin(self) -> None:
        """Records that a request head begins."""
        self._head_started_s = self._clock()
        self._fields = 0

    def on_field(self) -> None:
        """Records a header field."""
        self.units += 1
        self._fields += 1

    def on_head_end(self) -> None:
        """Records that a request head is complete."""
        self.units += client_accounts.REQUEST_UNITS
        self._head_started_s = None
        self._head_bytes = 0
        self._body_bytes = 0
        self._is_in_body = True

    def on_body(self, size: int) -> None:
        """Records bytes of a request body."""
        self.units += 1
        self._body_bytes += size

    def on_request_end(self) -> None:
        """Records that a request has been received."""
        self._is_in_body = False

    def on_response_end(self) -> None:
        """Records that a response was passed to the transport."""
        self._idle_since_s = self._clock()
        self._account.progress_s = self._idle_since_s
        self._account.is_served = True
        self._resume()
        self._update_account()

    # Used by the accounts.

    def reclaim(self) -> str:
        """Gives back what the connection holds; returns what was done."""
        return self.close_early()

    def close_early(self) -> str:
        """Closes the connection; returns what was done."""
        self._unparsed = b""
        self._transport.abort()
        return client_accounts.CLOSED

    def check_timeouts(self) -> None:
        """Closes the connection after a header or idle timeout."""
        if self._transport.is_closing():
            return
        now_s = self._clock()
        if self._head_started_s is not None:
            limit_s = self._limits().header_timeout_s
            if now_s - self._head_started_s > limit_s:
                self._end("head time")
                return
        elif not self._http.is_responding and (
            now_s - self._idle_since_s > IDLE_TIMEOUT_S
        ):
            self._transport.close()
            return
        self._update_account()

    def _end(self, cause: str) -> None:
        self._accounts.record_limit(self._account.listener, cause)
        self.close_early()

    def _parse(self, max_units: int) -> None:
        self.units = 0
        data, self._unparsed = self._unparsed, b""
        end = 0
        while end < len(data):
            if self._transport.is_closing():
                return
            if self._is_paused or self.units >= max_units:
                self._unparsed = data[end:]
                self._transport.pause_reading()
                self._resume()
                return
            start, end = end, front_conn.slice_end(data, end)
            if not self._is_in_body:
                self._head_bytes += end - start
            self._http.data_received(data[start:end])
            if self._head_bytes > self._limits().header_bytes:
                self._end("head size")
            elif self._body_bytes > self._max_body_bytes:
                self._end("body size")

    def _resume(self) -> None:
        """Leaves unparsed bytes for a later step, or reads on."""
        if self._transport.is_closing() or self._is_paused:
            return
        if not self._unparsed:
            self._transport.resume_reading()
        elif not self._is_deferred:
            self._is_deferred = True
            self._accounts.scheduler.add(self._run_step)

    def _run_step(self, max_units: int) -> tuple[int, bool]:
        self._is_deferred = False
        if self._transport.is_closing():
            self._unparsed = b""
            return 0, False
        self.units = 0
        if not self._is_paused:
            self._parse(max_units)
            if not self._unparsed:
                self._resume()
        self._update_account()
        return self.units, False

    def _update_account(self) -> None:
        """Tells the accounts what the connection holds."""
        held_bytes = client_accounts.CONN_BYTES + len(self._unparsed)
        held_bytes += self._head_bytes
        held_bytes += self._fields * client_accounts.FIELD_BYTES
        held_bytes += self._body_bytes
        if self._http.is_responding:
            held_bytes += client_accounts.REQUEST_BYTES
        held_bytes += self._transport.get_write_buffer_size()
        self._accounts.update(self._account, held_bytes)


class _HttpProtocol(server_module.HttpProtocol):
    """uvicorn's protocol, which tells its connection what it parses."""

    def __init__(self, conn: SideConn, **options):
        super().__init__(**options)
        self._conn = conn

    @property
    def is_responding(self) -> bool:
        """Whether a response has not ended."""
        return self.cycle is not None and not self.cycle.response_complete

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Lets the connection pause reading instead of the transport."""
        super().connection_made(transport)
        self.flow = flow_control.FlowControl(self._conn)

    def on_message_begin(self) -> None:
        """Records the begin of a head."""
        super().on_message_begin()
        self._conn.on_head_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header field."""
        super().on_header(name, value)
        self._conn.on_field()

    def on_headers_complete(self) -> None:
        """Records the end of a head."""
        super().on_headers_complete()
        self._conn.on_head_end()

    def on_body(self, body: bytes) -> None:
        """Records bytes of a body."""
        super().on_body(body)
        self._conn.on_body(len(body))

    def on_message_complete(self) -> None:
        """Records the end of a request."""
        super().on_message_complete()
        self._conn.on_request_end()

    def on_response_complete(self) -> None:
        """Records the end of a response."""
        super().on_response_complete()
        if not self.transport.is_closing():
            self._conn.on_response_end()

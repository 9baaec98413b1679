"""The server that accepts callers' connections."""

import asyncio
import contextlib
from collections.abc import Callable

from absl import logging

from bramleyworks.gateway import client_accounts
from bramleyworks.gateway import front_conn
from bramleyworks.gateway import limits as limits_module

# Length of the queue of connections that are not yet accepted.
BACKLOG = 1024
# Period between checks for header and idle timeouts.
TIMEOUT_CHECK_S = 0.25


class FrontServer:
    """Owns the listening socket and the connections of all callers."""

    def __init__(
        self,
        handle: front_conn.Handler,
        limits: Callable[[], limits_module.Limits],
        clock: Callable[[], float],
        accepts: Callable[[str], bool] = lambda _: True,
        accounts: client_accounts.ClientAccounts | None = None,
        listener: str = "entry",
    ):
        """Initializes a server that is not listening yet.

        Args:
            handle: Starts the task that handles a request.
            limits: Returns the limits in force.
            clock: Monotonic time in seconds.
            accepts: Returns whether a host may connect.
            accounts: Accounts of all clients, None to take nothing back.
            listener: Name of the listener in them.
        """
        self._accepts = accepts
        self._handle = handle
        self._limits = limits
        self._clock = clock
        self._accounts = accounts or client_accounts.unbounded(clock)
        self._listener = listener
        self._conns: set[front_conn.FrontConn] = set()
        self._server: asyncio.Server | None = None
        self._stack = contextlib.AsyncExitStack()

    async def open(self, address: str) -> None:
        """Listens on ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_conn, host, int(port), backlog=BACKLOG
        )
        self._stack.callback(self._server.close)

    async def run(self) -> None:
        """Enforces connection timeouts until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_S)
            for conn in list(self._conns):
                conn.check_timeouts()

    def drain(self) -> None:
        """Closes each connection as soon as it is idle."""
        for conn in self._conns:
            conn.is_draining = True

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    @property
    def busy_conns(self) -> int:
        """Number of connections with a request or a response in flight."""
        return sum(1 for conn in self._conns if conn.is_busy)

    async def close(self) -> None:
        """Closes the socket and all connections."""
        await self._stack.aclose()
        for conn in list(self._conns):
            conn.abort()

    def _create_conn(self) -> front_conn.FrontConn:
        return front_conn.FrontConn(
            self._handle,
            self._limits,
            self._clock,
            self._add_conn,
            self._conns.discard,
            self._accounts,
            self._listener,
        )

    def _add_conn(self, conn: front_conn.FrontConn) -> None:
        if not self._accepts(conn.host):
            self._accounts.record_limit(self._listener, "unknown host")
            logging.log_every_n_seconds(
                logging.WARNING,
                "connection of unknown host %s closed",
                1,
                conn.host,
            )
            conn.abort()
            return
        self._conns.add(conn)

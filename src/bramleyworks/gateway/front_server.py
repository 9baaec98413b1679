"""Accepts callers' connections."""

import asyncio
import contextlib
from collections.abc import Callable

from bramleyworks.gateway import front_conn
from bramleyworks.gateway import limits as limits_module

# Connections that may wait to be accepted.
BACKLOG = 1024
# Time between two looks at callers that are slow or idle.
TIMEOUT_CHECK_S = 0.25


class FrontServer:
    """Owns the listening socket and all connections of callers."""

    def __init__(
        self,
        handle: front_conn.Handler,
        limits: Callable[[], limits_module.Limits],
        clock: Callable[[], float],
    ):
        """Prepares a server.

        Args:
            handle: Starts the exchange of one request.
            limits: Returns the bounds in force.
            clock: Monotonic time in seconds.
        """
        self._handle = handle
        self._limits = limits
        self._clock = clock
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
        """Ends connections that use up their time, until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_S)
            for conn in list(self._conns):
                conn.check_timeouts()

    def drain(self) -> None:
        """Ends each connection as soon as no request runs on it."""
        for conn in self._conns:
            conn.is_draining = True

    def stop_listening(self) -> None:
        """Accepts no more connections."""
        if self._server is not None:
            self._server.close()

    @property
    def busy_conns(self) -> int:
        """Connections on which a request runs."""
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
            self._conns.add,
            self._conns.discard,
        )

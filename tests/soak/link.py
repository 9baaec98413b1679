"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536
DELAY_S = 0.15
# SO_LINGER of zero seconds: close() sends a reset.
_LINGER_ZERO = struct.pack("ii", 1, 0)

OPEN = "open"
DELAY = "delay"
# Holds back bytes to the server (up) or to the client (down) until the fault
# ends.
HOLD_UP = "hold_up"
HOLD_DOWN = "hold_down"
HOLD_BOTH = "hold_both"


class _ProxiedConnection:
    """The two sockets of one proxied connection."""

    def __init__(self, client, server):
        self.writers = (client, server)
        self.silenced = False

    def reset(self):
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
                )
            writer.transport.abort()


class Link:
    """Proxy to one address; a new mode also applies to open connections."""

    def __init__(self, target):
        self.target = target
        self.address = ""
        self._mode = OPEN
        self._flow_allowed = {
            HOLD_UP: asyncio.Event(),
            HOLD_DOWN: asyncio.Event(),
        }
        self._closed = asyncio.Event()
        self._conns = set()
        self._tasks = set()
        self._server = None

    def set_mode(self, mode):
        self._mode = mode
        for hold, allowed in self._flow_allowed.items():
            if mode in (hold, HOLD_BOTH):
                allowed.clear()
            else:
                allowed.set()

    async def start(self):
        self.set_mode(OPEN)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self):
        self._closed.set()
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Resets all open connections."""
        for conn in list(self._conns):
            conn.reset()

    def silence(self):
        """Drops all further bytes of open connections but keeps them open.

        New connections work.
        """
        for conn in self._conns:
            conn.silenced = True

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._connect(reader, writer)
        except asyncio.CancelledError:
            # Not raised again: the server does not await its handlers.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _connect(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            server_reader, server = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _ProxiedConnection(writer, writer).reset()
            return
        conn = _ProxiedConnection(writer, server)
        self._conns.add(conn)
        try:
            await asyncio.gather(
                self._forward(conn, reader, server, HOLD_UP),
                self._forward(conn, server_reader, writer, HOLD_DOWN),
            )
        finally:
            self._conns.discard(conn)
            for end_writer in conn.writers:
                end_writer.transport.abort()

    async def _forward(self, conn, reader, writer, hold):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self._mode == DELAY:
                    await asyncio.sleep(DELAY_S)
                await self._flow_allowed[hold].wait()
                if not conn.silenced:
                    writer.write(chunk)
                    await writer.drain()
            if conn.silenced:
                await self._closed.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            conn.reset()

"""A loopback TCP proxy that harms the connections through it."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536
DELAY_S = 0.15
# SO_LINGER of zero seconds: close() sends a reset.
_RESET = struct.pack("ii", 1, 0)

OPEN = "open"
DELAY = "delay"
# Bytes towards the server, or towards the caller, wait until the fault ends.
HOLD_UP = "hold_up"
HOLD_DOWN = "hold_down"
HOLD_BOTH = "hold_both"


class _Pair:
    """The two sockets of one proxied connection."""

    def __init__(self, near, far):
        self.writers = (near, far)
        self.silenced = False

    def reset(self):
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()


class Link:
    """Forwards to one address; its mode is read for each chunk."""

    def __init__(self, target):
        self.target = target
        self.address = ""
        self._mode = OPEN
        self._flows = {HOLD_UP: asyncio.Event(), HOLD_DOWN: asyncio.Event()}
        self._closed = asyncio.Event()
        self._pairs = set()
        self._tasks = set()
        self._server = None

    def set_mode(self, mode):
        self._mode = mode
        for hold, flows in self._flows.items():
            if mode in (hold, HOLD_BOTH):
                flows.clear()
            else:
                flows.set()

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
        for pair in list(self._pairs):
            pair.reset()

    def silence(self):
        """Open connections carry nothing more and stay open; new ones work."""
        for pair in self._pairs:
            pair.silenced = True

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._connect(reader, writer)
        except asyncio.CancelledError:
            # Ends quietly: the server does not await its handlers.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _connect(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            _Pair(writer, writer).reset()
            return
        pair = _Pair(writer, far)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, far, HOLD_UP),
                self._pump(pair, far_reader, writer, HOLD_DOWN),
            )
        finally:
            self._pairs.discard(pair)
            for end in pair.writers:
                end.transport.abort()

    async def _pump(self, pair, reader, writer, hold):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self._mode == DELAY:
                    await asyncio.sleep(DELAY_S)
                await self._flows[hold].wait()
                if not pair.silenced:
                    writer.write(chunk)
                    await writer.drain()
            if pair.silenced:
                await self._closed.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            pair.reset()

"""A server for callers in the test process."""

import asyncio
import contextlib
import time

from support import ports

from bramleyworks.gateway import front_server
from bramleyworks.gateway import limits


@contextlib.asynccontextmanager
async def connection(handle, **options):
    """Yields a server and a connection to it."""
    address = f"127.0.0.1:{ports.free_port()}"
    server = front_server.FrontServer(handle, limits.Limits, time.monotonic)
    async with contextlib.AsyncExitStack() as stack:
        await server.open(address)
        stack.push_async_callback(server.close)
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), **options
        )
        stack.callback(writer.close)
        yield server, reader, writer

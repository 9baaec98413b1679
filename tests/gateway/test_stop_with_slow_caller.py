"""A planned stop while a caller still receives its response."""

import asyncio
import contextlib
import time

from support import ports

from bramleyworks.gateway import front_server
from bramleyworks.gateway import limits

# More than the socket buffers hold.
BODY = b"x" * 20_000_000


def respond(req, res):
    async def write():
        req.discard()
        res.write_complete(200, [], BODY, close=True)

    return asyncio.create_task(write())


async def test_connection_is_busy_until_its_response_has_been_sent():
    """Guards against a stop that cuts off a response in the send buffer."""
    address = f"127.0.0.1:{ports.free_port()}"
    server = front_server.FrontServer(respond, limits.Limits, time.monotonic)
    async with contextlib.AsyncExitStack() as stack:
        await server.open(address)
        stack.push_async_callback(server.close)
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        stack.callback(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        await asyncio.sleep(0.3)
        assert server.busy_conns == 1
        received = b""
        while chunk := await reader.read(1_000_000):
            received += chunk
        assert received.endswith(BODY)
        await asyncio.sleep(0.05)
        assert server.busy_conns == 0

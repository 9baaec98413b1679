"""A planned stop while a caller still receives its response."""

import asyncio
import contextlib
import time

from support import front

from bramleyworks.gateway import front_conn
from bramleyworks.gateway import limits

# More than the socket buffers hold.
BODY = b"x" * 20_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"


def respond(req, res):
    async def write():
        req.discard()
        res.write_complete(200, [], BODY, close=True)

    return asyncio.create_task(write())


async def test_connection_is_busy_until_its_response_has_been_sent():
    """Guards against a stop that cuts off a response in the send buffer."""
    async with front.connection(respond) as (server, reader, writer):
        writer.write(REQUEST)
        await asyncio.sleep(0.3)
        assert server.busy_conns == 1
        received = b""
        while chunk := await reader.read(1_000_000):
            received += chunk
        assert received.endswith(BODY)
        await asyncio.sleep(0.05)
        assert server.busy_conns == 0


async def test_request_that_crosses_the_close_does_not_reset_it():
    """Guards against a response that is lost because its caller sends on."""
    async with front.connection(respond, limit=16_384) as (_, reader, writer):
        writer.write(REQUEST)
        received = b""
        while chunk := await reader.read(200_000):
            received += chunk
            writer.write(REQUEST)
            await asyncio.sleep(0.005)
        assert received.count(b"HTTP/1.1 200") == 1
        assert received.endswith(BODY)


async def test_connection_that_its_caller_keeps_is_closed(monkeypatch):
    """Guards against sockets that callers hold for good."""
    monkeypatch.setattr(front_conn, "LINGER_S", 0.2)
    closed = asyncio.Event()
    async with contextlib.AsyncExitStack() as stack:
        loop = asyncio.get_running_loop()
        conns = []
        server = await loop.create_server(
            lambda: front_conn.FrontConn(
                respond,
                limits.Limits,
                time.monotonic,
                conns.append,
                lambda _: closed.set(),
            ),
            "127.0.0.1",
        )
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        stack.callback(writer.close)
        writer.write(REQUEST)
        assert (await reader.read(-1)).endswith(BODY)
        assert not closed.is_set()
        await asyncio.sleep(0.3)
        conns[0].check_timeouts()
        async with asyncio.timeout(1.0):
            await closed.wait()

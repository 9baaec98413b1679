"""Guards against health endpoints that hang or send malformed responses."""

import asyncio
import contextlib

from bramleyworks.adapters import probe
from bramleyworks.policy import probe_result

GOOD = b'{"status": "ok", "busy": 2, "slots": 5, "version": "v1", "more": 1}'


def response(body, status="200 OK"):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@contextlib.asynccontextmanager
async def serving(data, hang=False):
    async def handle(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            if hang:
                await asyncio.sleep(5.0)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.close()


async def read(data, hang=False):
    async with serving(data, hang) as url, probe.Probe(0.3) as reader:
        return await reader.read(url)


async def test_response_is_decoded_and_unknown_fields_are_ignored():
    got = await read(response(GOOD))
    assert got.unwrap() == probe_result.ProbeResult("ok", 2, 5, "v1")


async def test_invalid_responses_are_errors_with_step_and_peer():
    for data in (
        response(b""),
        response(b"[]"),
        response(b"\xff\xfe"),
        response(GOOD.replace(b"ok", b"fine")),
        response(GOOD.replace(b"2", b"null")),
        response(b'{"status": "ok"}'),
        response(GOOD, "500 Error"),
        response(GOOD, "302 Found"),
        response(GOOD + b" " * 100_000),
        b"garbage\r\n\r\n",
        b"",
    ):
        err = (await read(data)).unwrap_err()
        assert err.step == "probe.read" and err.peer.startswith("http://")


async def test_hanging_endpoint_times_out():
    loop = asyncio.get_running_loop()
    for data in (b"", b"HTTP/1.1 200 OK\r\n", response(GOOD)[:-5]):
        started_s = loop.time()
        err = (await read(data, hang=True)).unwrap_err()
        assert "no response" in err.reason
        assert loop.time() - started_s < 0.6


async def test_refused_connection_is_an_error():
    async with serving(b"") as url:
        pass
    async with probe.Probe(0.3) as reader:
        assert (await reader.read(url)).is_err()

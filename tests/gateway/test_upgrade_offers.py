"""Requests that offer to go on in another protocol."""

import asyncio
import contextlib

import pytest
from support import front

from bramleyworks.gateway import limits

OFFER = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABkAAQAAP__\r\n"
)
PLAIN = b"GET /plain HTTP/1.1\r\nHost: a\r\n\r\n"
SIZED = b"Content-Length: 5\r\n\r\nabcde"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"


def respond(req, res):
    async def write():
        body = await req.read_all(1000)
        res.write_complete(200, [], req.target + b" " + body, close=False)

    return asyncio.create_task(write())


async def receive(reader, wait_s=0.3):
    """Returns all that arrives until nothing more does."""
    received = b""
    with contextlib.suppress(TimeoutError):
        while True:
            async with asyncio.timeout(wait_s):
                chunk = await reader.read(65536)
            if not chunk:
                break
            received += chunk
    return received


@pytest.mark.parametrize("piece", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("method", "framing", "body"),
    [
        (b"GET", b"\r\n", b""),
        (b"POST", SIZED, b"abcde"),
        (b"POST", CHUNKED, b"abcde"),
    ],
)
async def test_request_with_an_offer_and_those_behind_it_are_served(
    method, framing, body, piece
):
    """Guards against a 400 that belongs to no request, and lost bodies."""
    sent = method + b" /offer HTTP/1.1\r\nHost: a\r\n" + OFFER + framing
    sent = (sent + PLAIN) * 2
    async with front.connection(respond) as (_, reader, writer):
        for start in range(0, len(sent), piece):
            writer.write(sent[start : start + piece])
            await asyncio.sleep(0)
        received = await receive(reader)
    assert received.count(b"HTTP/1.1 ") == 4
    assert received.count(b"HTTP/1.1 200") == 4
    assert received.count(b"/offer " + body) == 2
    assert received.endswith(b"/plain ")


async def test_tunnel_is_refused_once():
    """Guards against a second answer to a request that is refused."""
    async with front.connection(respond) as (_, reader, writer):
        writer.write(b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n" + PLAIN)
        received = await receive(reader)
    assert received.count(b"HTTP/1.1 ") == 1
    assert received.startswith(b"HTTP/1.1 400")


async def test_body_with_an_offer_that_is_too_long_is_refused():
    """Guards against bodies that pass the limit behind an offer."""
    size = limits.Limits().body_bytes + 1
    async with front.connection(respond) as (_, reader, writer):
        writer.write(
            b"POST /offer HTTP/1.1\r\nHost: a\r\n"
            + OFFER
            + b"Content-Length: %d\r\n\r\n" % size
        )
        received = await receive(reader)
    assert received.count(b"HTTP/1.1 ") == 1
    assert received.startswith(b"HTTP/1.1 413")

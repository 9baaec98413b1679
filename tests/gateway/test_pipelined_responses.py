"""Responses that end a connection on which other responses are due."""

import asyncio
import contextlib
import re

import pytest
from support import front
from support import platform_fleet
from support import raw_upstream

SLOW_WORK_MS = 900
# Above what is read before the head of a response is written.
LARGE_BYTES = 400_000
# Above what is buffered behind an earlier response.
HUGE_BYTES = 1_500_000
DEADLINE_MS = 400


class LargeUpstream(raw_upstream.RawUpstream):
    """Sends a large response, of which it may break off each second half."""

    def __init__(self, size, is_broken):
        super().__init__()
        self.runs = 0
        self._size = size
        self._is_broken = is_broken

    async def respond(self, reader, writer):
        while True:
            request_id = await raw_upstream.read_request_id(reader)
            self.runs += 1
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Bramleyworks-Response-Seal: 1\r\n"
                b"X-Bramleyworks-Attempt-Id: %b\r\n"
                b"Content-Length: %d\r\n\r\n" % (request_id, self._size)
            )
            if self._is_broken:
                writer.write(b"a" * (self._size * 3 // 4))
                await writer.drain()
                return
            writer.write(b"a" * self._size)
            await writer.drain()


def head(path, request_id, deadline_ms=4000):
    return (
        f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: key-one\r\n"
        f"X-Bramleyworks-Attempt-Id: {request_id}\r\n"
        f"X-Bramleyworks-Deadline-Ms: {deadline_ms}\r\n\r\n"
    ).encode()


async def read_response(reader):
    """Returns status, headers and body of one response."""
    raw = await reader.readuntil(b"\r\n\r\n")
    length = int(re.search(rb"content-length: (\d+)", raw).group(1))
    return int(raw.split()[1]), raw, await reader.readexactly(length)


@contextlib.asynccontextmanager
async def slow_and_large(tmp_path, large):
    """Runs a VM with a slow service and one of large responses."""
    rules = [platform_fleet.rule("large", "safe", "/large/", "gate")]
    async with large.serving(), platform_fleet.Fleet(tmp_path) as fleet:
        config = platform_fleet.config(1, rules=rules)
        await fleet.write_store({"op/config": config})
        await fleet.add_upstream("slow", work_ms=SLOW_WORK_MS)
        fleet.upstreams["large"] = (large.address, None)
        await fleet.register("large", service="gate")
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 2)
        del fleet.upstreams["large"]
        yield fleet, vm


@pytest.mark.parametrize(
    ("size", "is_broken", "deadline_ms", "statuses"),
    [(LARGE_BYTES, True, 4000, {502}), (HUGE_BYTES, False, DEADLINE_MS, {504})],
)
async def test_failed_response_leaves_the_one_before_it_intact(
    tmp_path, size, is_broken, deadline_ms, statuses
):
    """Guards against a large response that closes a shared connection."""
    large = LargeUpstream(size, is_broken)
    async with slow_and_large(tmp_path, large) as (_, vm):
        for number in range(3):
            reader, writer = await asyncio.open_connection(
                vm.ip, vm.values["entry"]
            )
            writer.write(
                head("/stock/1", f"s{number}")
                + head("/large/1", f"l{number}", deadline_ms)
            )
            async with asyncio.timeout(4.0):
                first = await read_response(reader)
                second = await read_response(reader)
            # The connection serves further requests.
            writer.write(head("/stock/2", f"t{number}"))
            async with asyncio.timeout(4.0):
                third = await read_response(reader)
            writer.close()
            assert first[0] == 200
            assert second[0] in statuses
            assert third[0] == 200
    assert large.runs >= 1


async def test_broken_response_is_repeated_if_none_of_it_was_sent(tmp_path):
    """Guards against a failure that another upstream could have mended."""
    broken = LargeUpstream(LARGE_BYTES, True)
    sound = LargeUpstream(LARGE_BYTES, False)
    async with sound.serving(), slow_and_large(tmp_path, broken) as (fleet, vm):
        fleet.upstreams["sound"] = (sound.address, None)
        await fleet.register("sound", service="gate")
        await fleet.wait_for_upstreams(vm, 3)
        statuses = []
        for number in range(6):
            reader, writer = await asyncio.open_connection(
                vm.ip, vm.values["entry"]
            )
            writer.write(
                head("/stock/1", f"s{number}")
                + head(f"/large/{number}", f"l{number}")
            )
            async with asyncio.timeout(4.0):
                statuses += [(await read_response(reader))[0] for _ in "ab"]
            writer.close()
    assert broken.runs
    assert statuses == [200] * 12


async def test_stop_answers_the_requests_behind_the_first_response():
    """Guards against a planned stop that cuts off pipelined requests."""
    is_draining = asyncio.Event()

    def respond(req, res):
        async def write():
            await is_draining.wait()
            await asyncio.sleep(0.1 if req.target == b"/1" else 0.3)
            req.discard()
            res.write_complete(200, [], req.target, close=True)

        return asyncio.create_task(write())

    async with front.connection(respond) as (server, reader, writer):
        for target in (b"/1", b"/2", b"/3"):
            writer.write(b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % target)
        await asyncio.sleep(0.1)
        server.drain()
        is_draining.set()
        received = await reader.read(-1)
    assert received.count(b"HTTP/1.1 200") == 3
    assert received.count(b"connection: close") == 1
    assert received.endswith(b"/3")


async def test_aborted_response_closes_after_those_before_it():
    """Guards against a connection that closes on responses that are due."""

    def respond(req, res):
        async def write():
            req.discard()
            if req.target == b"/1":
                await asyncio.sleep(0.3)
                res.write_complete(200, [], b"x" * 5_000_000, close=False)
            else:
                res.write_head(200, [], 100, close=False)
                res.abort()

        return asyncio.create_task(write())

    async with front.connection(respond) as (_, reader, writer):
        for target in (b"/1", b"/2"):
            writer.write(b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % target)
        received = await reader.read(-1)
    assert received.endswith(b"x" * 5_000_000)


async def test_partial_response_keeps_what_was_sent_before_it():
    """Guards against responses that are lost in the send buffer."""

    def respond(req, res):
        async def write():
            req.discard()
            if req.target == b"/1":
                res.write_complete(200, [], b"x" * 5_000_000, close=False)
            else:
                await asyncio.sleep(0.2)
                res.write_head(200, [], 100, close=False)
                res.abort()

        return asyncio.create_task(write())

    async with front.connection(respond) as (_, reader, writer):
        for target in (b"/1", b"/2"):
            writer.write(b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % target)
        await asyncio.sleep(0.5)
        received = await reader.read(-1)
    assert received.count(b"x" * 5_000_000) == 1
    assert received.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("delay_s", [0.0, 0.3], ids=["sent", "waiting"])
async def test_malformed_body_behind_its_response_gets_no_second_one(delay_s):
    """Guards against a response that belongs to no request."""

    def respond(req, res):
        async def write():
            if req.target == b"/first":
                await asyncio.sleep(delay_s)
            req.discard()
            res.write_complete(200, [], req.target, close=False)

        return asyncio.create_task(write())

    async with front.connection(respond) as (_, reader, writer):
        writer.write(b"GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
        writer.write(
            b"POST /early HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nab"
        )
        await asyncio.sleep(0.1)
        writer.write(b"cdeX no chunk\r\n")
        async with asyncio.timeout(2.0):
            received = await reader.read(-1)
    assert received.count(b"HTTP/1.1 ") == 2
    assert received.endswith(b"/early")

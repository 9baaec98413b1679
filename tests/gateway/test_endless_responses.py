"""Guards against upstreams whose bytes never end.

Each case is an upstream that sends without end, until its connection is
closed. The gateway must give up early, answer with a failure and keep its
memory.
"""

import asyncio
import contextlib
import pathlib
import re

import aiohttp
import pytest
from support import platform_fleet
from support import raw_upstream

MAX_GROWTH_MB = 20
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
SEAL = b"X-Bramleyworks-Response-Seal: 1.0.1.1.0.0\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def _answer(request_id, *fields):
    echoed = b"X-Bramleyworks-Attempt-Id: " + request_id + b"\r\n"
    return STATUS_LINE + echoed + SEAL + b"".join(fields)


def _endless_header_line(request_id):
    return _answer(request_id) + b"X-Long: ", b"a" * 65536


def _endless_header_fields(request_id):
    return _answer(request_id), b"X-Field: value\r\n" * 4096


def _endless_informational(request_id):
    return b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 4096


def _endless_trailers(request_id):
    head = _answer(request_id, CHUNKED)
    return head + b"\r\n2\r\nok\r\n0\r\n", b"X-Trailer: value\r\n" * 4096


def _endless_chunk_extension(request_id):
    head = _answer(request_id, CHUNKED)
    return head + b"\r\n2;x=", b"a" * 65536


def _endless_other_response(request_id):
    return _answer(b"another", CHUNKED) + b"\r\n", b"2000\r\n%b\r\n" % (
        b"a" * 8192
    )


CASES = [
    _endless_header_line,
    _endless_header_fields,
    _endless_informational,
    _endless_trailers,
    _endless_chunk_extension,
    _endless_other_response,
]


class EndlessUpstream(raw_upstream.RawUpstream):
    """Sends a start and then the same bytes until its connection closes.

    Attributes:
        requests: Requests received.
        closed: Set when a connection was closed by the gateway.
    """

    def __init__(self, build):
        super().__init__()
        self.requests = 0
        self.closed = asyncio.Event()
        self._build = build

    async def respond(self, reader, writer):
        start, repeated = self._build(
            await raw_upstream.read_request_id(reader)
        )
        self.requests += 1
        try:
            writer.write(start)
            while True:
                writer.write(repeated)
                await writer.drain()
        finally:
            self.closed.set()


def _resident_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", text).group(1)) / 1024


@contextlib.asynccontextmanager
async def _fleet_with(tmp_path, build):
    async with (
        EndlessUpstream(build).serving() as upstream,
        platform_fleet.Fleet(tmp_path) as fleet,
    ):
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        fleet.upstreams["endless"] = (upstream.address, None)
        await fleet.register("endless")
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 1)
        yield fleet, vm, upstream


@pytest.mark.parametrize("build", CASES, ids=lambda case: case.__name__)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_bytes_without_end_are_given_up_early(tmp_path, build, method):
    path = "/stock/1" if method == "GET" else "/order/1"
    async with _fleet_with(tmp_path, build) as (fleet, vm, upstream):
        before_mb = _resident_mb(vm.process)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        status, _, _, request_id = await fleet.send_request(vm, path, method)
        elapsed_s = loop.time() - start_s
        async with asyncio.timeout(1.0):
            await upstream.closed.wait()
        grown_mb = _resident_mb(vm.process) - before_mb
        await fleet.wait_until(
            lambda: _is_logged(vm, request_id), "the line of the request"
        )
        (line,) = vm.requests(request_id)
    assert status == 502
    assert elapsed_s < 1.0
    assert grown_mb < MAX_GROWTH_MB
    assert line["tried"][0]["reason"].startswith("upstream.excess")


async def _is_logged(vm, request_id):
    return bool(vm.requests(request_id))


async def test_body_without_end_reaches_the_caller_as_broken(tmp_path):
    """The caller must not take a download that never ends for complete."""

    def endless_body(request_id):
        return _answer(request_id, CHUNKED) + b"\r\n", b"2000\r\n%b\r\n" % (
            b"a" * 8192
        )

    async with _fleet_with(tmp_path, endless_body) as (fleet, vm, upstream):
        before_mb = _resident_mb(vm.process)
        with pytest.raises(aiohttp.ClientPayloadError):
            await fleet.send_request(vm, deadline_ms=1000)
        async with asyncio.timeout(1.0):
            await upstream.closed.wait()
        grown_mb = _resident_mb(vm.process) - before_mb
    assert grown_mb < MAX_GROWTH_MB


async def test_upstream_that_sends_without_end_is_excluded(tmp_path):
    """Requests go elsewhere after three failures, as for other failures."""
    async with _fleet_with(tmp_path, _endless_header_line) as (
        fleet,
        vm,
        upstream,
    ):
        for _ in range(4):
            await fleet.send_request(vm, "/order/1", "POST")
        assert upstream.requests == 3

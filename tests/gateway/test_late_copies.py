"""Guards against a late copy of a response that another caller gets."""

import asyncio

import pytest
from support import platform_fleet
from support import raw_upstream

COPIED_BODY = b"of the first"


class CopyingUpstream(raw_upstream.RawUpstream):
    """Sends its first response again when the second request has arrived."""

    def __init__(self, copies_name_request):
        super().__init__()
        self._copies_name_request = copies_name_request

    async def respond(self, reader, writer):
        first_id = await raw_upstream.read_request_id(reader)
        writer.write(_response(first_id, COPIED_BODY))
        while True:
            request_id = await raw_upstream.read_request_id(reader)
            copied_id = first_id if self._copies_name_request else None
            writer.write(_response(copied_id, COPIED_BODY))
            await asyncio.sleep(0.05)
            writer.write(_response(request_id, b"own"))


def _response(request_id, body):
    fields = [
        b"HTTP/1.1 200 OK",
        b"X-Bramleyworks-Response-Seal: 1",
        b"Content-Length: %d" % len(body),
    ]
    if request_id is not None:
        fields.append(b"X-Bramleyworks-Attempt-Id: " + request_id)
    return b"\r\n".join(fields) + b"\r\n\r\n" + body


@pytest.mark.parametrize("copies_name_request", [True, False])
async def test_copy_on_a_reused_connection_reaches_no_caller(
    tmp_path, copies_name_request
):
    upstream = CopyingUpstream(copies_name_request)
    async with upstream.serving(), platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        fleet.upstreams["copying"] = (upstream.address, None)
        await fleet.register("copying")
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 1)
        _, _, first, _ = await fleet.send_request(vm, "/order/1", "POST")
        status, _, second, _ = await fleet.send_request(vm, "/order/2", "POST")
    assert first == COPIED_BODY
    assert second != COPIED_BODY
    if copies_name_request:
        assert (status, second) == (200, b"own")
    else:
        # It may have run, and its response can not be told from the copy.
        assert status == 502


REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nX-Bramleyworks-Not-Run: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class RefusingUpstream(raw_upstream.RawUpstream):
    """Refuses its first request, and writes that again to the second one.

    Attributes:
        runs: Requests that it ran.
    """

    def __init__(self):
        super().__init__()
        self.runs = 0
        self._is_first = True

    async def respond(self, reader, writer):
        if self._is_first:
            self._is_first = False
            await raw_upstream.read_request_id(reader)
            writer.write(REFUSAL)
            await raw_upstream.read_request_id(reader)
            self.runs += 1
            writer.write(REFUSAL)
            return
        request_id = await raw_upstream.read_request_id(reader)
        self.runs += 1
        writer.write(_response(request_id, b"own"))


async def test_copy_of_a_refusal_is_not_taken_for_the_next_request(tmp_path):
    """Guards against "not run" for what an upstream runs."""
    upstream = RefusingUpstream()
    async with upstream.serving(), platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        fleet.upstreams["refusing"] = (upstream.address, None)
        await fleet.register("refusing")
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 1)
        status, _, _, _ = await fleet.send_request(vm, "/order/1", "POST")
        assert status == 503
        await asyncio.sleep(0.2)
        status, _, _, _ = await fleet.send_request(vm, "/order/2", "POST")
        assert (status, upstream.runs) == (200, 1)

"""Guards against responses that broke off and look complete to the caller."""

import asyncio

import pytest
from support import platform_fleet
from support import raw_upstream

# More than the gateway reads before it forwards the first byte.
SENT_BYTES = 600_000


class HalfUpstream(raw_upstream.RawUpstream):
    """Sends part of a chunked response and ends the connection."""

    async def respond(self, reader, writer):
        request_id = await raw_upstream.read_request_id(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Bramleyworks-Response-Seal: 1\r\n"
            b"X-Bramleyworks-Attempt-Id: %b\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % request_id
        )
        writer.write(b"%x\r\n%b\r\n" % (SENT_BYTES, b"a" * SENT_BYTES))
        await writer.drain()
        await asyncio.sleep(0.2)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
async def test_partial_response_does_not_look_complete(tmp_path, version):
    """A caller without chunked coding sees only how the connection ends."""
    upstream = HalfUpstream()
    received = b""
    is_reset = False
    async with upstream.serving(), platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        fleet.upstreams["half"] = (upstream.address, None)
        await fleet.register("half")
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 1)
        reader, writer = await asyncio.open_connection(
            vm.ip, vm.values["entry"]
        )
        writer.write(
            b"GET /stock/1 HTTP/%b\r\nHost: shop.example\r\n"
            b"X-Api-Key: key-one\r\nX-Bramleyworks-Attempt-Id: r1\r\n\r\n"
            % version
        )
        try:
            async with asyncio.timeout(3.0):
                while chunk := await reader.read(65536):
                    received += chunk
        except ConnectionResetError:
            is_reset = True
        writer.close()
    assert received.startswith(b"HTTP/1.1 200")
    is_chunked = b"transfer-encoding: chunked" in received
    assert is_chunked == (version == b"1.1")
    assert not received.endswith(b"0\r\n\r\n")
    assert is_chunked or is_reset

"""Requests that come late in the grace period of a planned stop."""

import asyncio
import contextlib

from support import platform_fleet

# The fleet's VMs end 3.3 s after SIGTERM, and listen for 2.5 s.
WORK_MS = 500


async def _send_raw_order(vm, delay_s, request_id):
    """Connects now, and sends an order after a while."""
    reader, writer = await asyncio.open_connection(vm.ip, vm.values["entry"])
    await asyncio.sleep(delay_s)
    received = b""
    with contextlib.suppress(ConnectionError):
        writer.write(
            b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Api-Key: key-one\r\nX-Bramleyworks-Attempt-Id: %b\r\n"
            b"X-Bramleyworks-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
            % request_id
        )
        while chunk := await reader.read(65536):
            received += chunk
    writer.close()
    return received.partition(b"\r\n")[0]


async def test_request_that_can_not_finish_before_the_end_is_refused(tmp_path):
    """Guards against orders that are passed on and cut off without answer."""
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1", work_ms=WORK_MS, slots=40)
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 1)
        for _ in range(12):
            await asyncio.gather(
                *(fleet.send_request(vm, "/order/1", "POST") for _ in range(4))
            )
        vm.process.terminate()
        await asyncio.sleep(1.0)
        heads = await asyncio.gather(
            *(
                _send_raw_order(vm, 0.1 * number, b"late%d" % number)
                for number in range(20)
            )
        )
        ran = {run["id"] for run in await fleet.runs()}
    for number, head in enumerate(heads):
        if f"late{number}" in ran:
            assert head == b"HTTP/1.1 200 OK", (number, heads)
        else:
            assert b" 200 " not in head
    assert heads[0] == b"HTTP/1.1 200 OK"
    assert any(b" 503 " in head for head in heads)

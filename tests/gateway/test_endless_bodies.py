"""Guards against memory and time lost to bodies that never end."""

import asyncio
import contextlib
import hashlib
import pathlib
import re
import time

import pytest
from support import gated_upstream
from support import platform_fleet
from support import raw_upstream

from bramleyworks.gateway import instance
from bramleyworks.gateway import upstream
from bramleyworks.gateway import upstream_wishes

# Memory of the smallest VMs of the users.
VM_MEMORY_MB = 200
CALLERS = 48
DEADLINE_MS = 3000
CHUNK = b"8000\r\n%b\r\n" % (b"a" * 0x8000)
TERABYTES = 4_000_000_000_000


class EndlessUpstream(raw_upstream.RawUpstream):
    """Sends a body until its connection closes.

    Attributes:
        requests: Requests received.
        open_conns: Connections that are open.
    """

    def __init__(self, framing=b"Transfer-Encoding: chunked\r\n"):
        super().__init__()
        self.requests = 0
        self.open_conns = 0
        self._framing = framing

    async def respond(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        found = re.search(rb"(?i)attempt-id: *(\S+)", head)
        self.requests += 1
        self.open_conns += 1
        try:
            writer.write(b"HTTP/1.1 200 OK\r\n")
            if found:
                writer.write(
                    b"X-Bramleyworks-Response-Seal: 1\r\n"
                    b"X-Bramleyworks-Attempt-Id: %b\r\n" % found.group(1)
                )
            writer.write(self._framing + b"\r\n")
            while True:
                writer.write(CHUNK)
                await writer.drain()
        finally:
            self.open_conns -= 1


def peak_mb(vm):
    text = pathlib.Path(f"/proc/{vm.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", text).group(1)) / 1024


def head(path, request_id):
    return (
        f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: key-one\r\n"
        f"X-Bramleyworks-Attempt-Id: {request_id}\r\n"
        f"X-Bramleyworks-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    ).encode()


@contextlib.asynccontextmanager
async def endless_fleet(tmp_path, endless):
    """Runs a VM with a sound service and one of endless bodies."""
    rules = [platform_fleet.rule("endless", "safe", "/endless/", "gate")]
    async with endless.serving(), platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store(
            {"op/config": platform_fleet.config(1, rules=rules)}
        )
        await fleet.add_upstream("sound", slots=CALLERS)
        fleet.upstreams["endless"] = (endless.address, None)
        await fleet.register("endless", service="gate", slots=CALLERS)
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 2)
        yield fleet, vm


@pytest.mark.parametrize("before", [0, 1], ids=["first", "behind another"])
@pytest.mark.parametrize(
    "framing",
    [
        b"Transfer-Encoding: chunked\r\n",
        b"Content-Length: %d\r\n" % TERABYTES,
        b"Connection: close\r\n",
    ],
    ids=["chunked", "terabytes", "until close"],
)
async def test_many_bodies_without_end_leave_other_callers_served(
    tmp_path, framing, before
):
    """Guards against a process that runs out of memory with all requests."""
    endless = EndlessUpstream(framing)
    async with endless_fleet(tmp_path, endless) as (fleet, vm):
        async with contextlib.AsyncExitStack() as stack:
            # Callers that stop to read once their buffer is full.
            callers = []
            for number in range(CALLERS):
                reader, writer = await asyncio.open_connection(
                    vm.ip, vm.values["entry"], limit=1024
                )
                callers.append((reader, writer))
                stack.callback(writer.transport.abort)
                first = head("/stock/1", f"s{number}") * before
                writer.write(first + head(f"/endless/{number}", f"e{number}"))
            statuses = []
            end_s = time.monotonic() + DEADLINE_MS / 1000 + 0.5
            while time.monotonic() < end_s:
                status, *_ = await fleet.send_request(vm)
                statuses.append(status)
                await asyncio.sleep(0.05)
        peak = peak_mb(vm)
        assert endless.requests > CALLERS / 4
        assert set(statuses) == {200}
        assert vm.process.exit_code() is None

        async def is_given_up():
            return endless.open_conns == 0

        await fleet.wait_until(is_given_up, "the end of all exchanges", 1.0)
    assert peak < VM_MEMORY_MB


async def test_health_check_without_end_is_given_up():
    """Guards against a check whose response keeps a connection busy."""
    endless = EndlessUpstream()
    async with endless.serving():
        host, _, port = endless.address.rpartition(":")
        checked = upstream.Upstream(
            instance.Instance(
                "u1", "desk", host, int(port), "one-a", "v1", 4, False, 0.0, 1
            ),
            upstream_wishes.UpstreamWishes(time.monotonic),
            time.monotonic,
        )
        start_s = time.monotonic()
        assert await checked.check_health("/healthz", 0.5) is None
        assert time.monotonic() - start_s < 1.0
        await asyncio.sleep(0.2)
        assert endless.requests == 1
        assert endless.open_conns == 0


class EndlessGatedUpstream(gated_upstream.GatedUpstream):
    """Sends an endless body to VMs whose links work."""

    async def _handle(self, head, reader, writer):
        found = re.search(r"(?i)attempt-id: *(\S+)", head)
        if found is None:
            await super()._handle(head, reader, writer)
            return
        seal = hashlib.sha256(found.group(1).encode()).hexdigest()[:12]
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                f"X-Bramleyworks-Response-Seal: {seal}\r\n"
                f"X-Bramleyworks-Attempt-Id: {found.group(1)}\r\n\r\n"
            ).encode()
        )
        while True:
            writer.write(CHUNK)
            await writer.drain()


async def test_body_without_end_by_way_of_another_vm_is_given_up(tmp_path):
    """Guards against a VM that another VM's response fills."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(platform_fleet.Fleet(tmp_path))
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        gate = gated_upstream.Gate()
        endless = EndlessGatedUpstream("u1", gate)
        await endless.start()
        stack.push_async_callback(endless.close)
        fleet.upstreams["u1"] = (endless.address, None)
        await fleet.register("u1", slots=CALLERS)
        for _ in range(2):
            gate.add_vm(await fleet.add_vm())
        cut, other = fleet.vms
        gate.set_mode([cut], gated_upstream.RESET, fleet.upstreams)
        await fleet.wait_for_upstreams(cut, 1)
        received = []
        for _ in range(8):
            received.append(
                len(await fleet.send_raw(cut, head("/open/1", "p")))
            )
        peaks = [peak_mb(cut), peak_mb(other)]
        assert cut.process.exit_code() is None
        assert other.process.exit_code() is None
    assert max(received) > len(CHUNK)
    assert max(peaks) < VM_MEMORY_MB

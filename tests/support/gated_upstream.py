"""Upstreams in the test process whose links to single VMs can fail."""

import asyncio
import contextlib
import hashlib

from support import socket_owner

# Answers everything.
OPEN = "open"
# Swallows what a VM sends and sends it nothing.
SILENT = "silent"
# Resets connections of a VM, and closes new ones at once.
RESET = "reset"
# Serves connections that are open, and closes new ones at once.
NO_NEW = "no_new"

WORK_S = 0.05
SLOTS = 8


class Gate:
    """State of the links between VMs and all upstreams.

    Attributes:
        runs: Request id, upstream and length of the body of each run, in
            order.
        health_checks: Health checks that were answered.
        cancelled: Requests whose VM disconnected before the response.
        work_s: Seconds for which each request runs.
        leaving: Names of upstreams that say that they leave.
        leaving_prefix: Start of the targets whose responses say so.
    """

    def __init__(self):
        self.runs = []
        self.health_checks = 0
        self.cancelled = 0
        self.work_s = WORK_S
        self.leaving = set()
        self.leaving_prefix = "/"
        self._modes = {}
        self._opened = {}
        self._writers = {}
        self._pids = {}

    def add_vm(self, vm):
        self._pids[vm.process.pid] = vm.id

    def set_mode(self, vms, mode, upstreams):
        """Sets the state of the links from some VMs to some upstreams."""
        for vm in vms:
            for name in upstreams:
                self._set_link_mode((vm.id, name), mode)

    def _set_link_mode(self, link, mode):
        self._modes[link] = mode
        opened = self._opened.setdefault(link, asyncio.Event())
        if mode == SILENT:
            opened.clear()
        else:
            opened.set()
        if mode == RESET:
            for writer in self._writers.pop(link, ()):
                writer.transport.abort()

    def mode(self, link):
        return self._modes.get(link, OPEN)

    async def wait_open(self, link):
        if self.mode(link) == SILENT:
            await self._opened[link].wait()

    @contextlib.contextmanager
    def connected(self, link, writer):
        writers = self._writers.setdefault(link, set())
        writers.add(writer)
        try:
            yield
        finally:
            writers.discard(writer)

    def vm_of(self, client, server):
        """Returns the id of the VM that connected, None if it is gone."""
        return self._pids.get(socket_owner.find(self._pids, client, server))


class GatedUpstream:
    """Runs requests for ``WORK_S`` if the link to their VM works."""

    def __init__(self, name, gate):
        self.name = name
        self.address = ""
        self._gate = gate
        self._running = 0
        self._tasks = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        vm_id = self._gate.vm_of(
            writer.get_extra_info("peername"),
            writer.get_extra_info("sockname"),
        )
        link = (vm_id, self.name)
        try:
            if vm_id is None or self._gate.mode(link) in (RESET, NO_NEW):
                return
            with self._gate.connected(link, writer):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    await self._gate.wait_open(link)
                    await self._handle(head.decode(), reader, writer)
                    await self._gate.wait_open(link)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _handle(self, head, reader, writer):
        first, *lines = head.rstrip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        size = await _read_body(reader, headers)
        if first.split()[1] == "/healthz":
            self._gate.health_checks += 1
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return
        request_id = headers["x-bramleyworks-attempt-id"]
        self._gate.runs.append((request_id, self.name, size))
        self._running += 1
        left = asyncio.ensure_future(reader.read(1))
        try:
            done, _ = await asyncio.wait([left], timeout=self._gate.work_s)
        finally:
            self._running -= 1
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
        if done:
            self._gate.cancelled += 1
            raise ConnectionError
        seal = hashlib.sha256(request_id.encode()).hexdigest()[:12]
        body = f"{self.name} {request_id}".encode()
        says_leaving = self.name in self._gate.leaving and first.split()[
            1
        ].startswith(self._gate.leaving_prefix)
        leaving = "Server-Leaving: 1\r\n" if says_leaving else ""
        writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"X-Bramleyworks-Attempt-Id: {request_id}\r\n"
                f"X-Bramleyworks-Response-Seal: {seal}\r\n"
                f"X-Bramleyworks-Server-Load: {self._running},0,{SLOTS}\r\n"
                f"{leaving}Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )


async def _read_body(reader, headers):
    """Reads a body; returns its length in bytes."""
    if headers.get("transfer-encoding") != "chunked":
        return len(
            await reader.readexactly(int(headers.get("content-length", 0)))
        )
    total = 0
    while size := int(await reader.readline(), 16):
        await reader.readexactly(size + 2)
        total += size
    await reader.readline()
    return total


@contextlib.asynccontextmanager
async def gated_fleet(fleet, vms, upstreams):
    """Adds VMs and gated upstreams to a fleet; yields their gate."""
    gate = Gate()
    async with contextlib.AsyncExitStack() as stack:
        for number in range(upstreams):
            upstream = GatedUpstream(f"u{number + 1}", gate)
            await upstream.start()
            stack.push_async_callback(upstream.close)
            fleet.upstreams[upstream.name] = (upstream.address, None)
            await fleet.register(
                upstream.name,
                slots=SLOTS,
                domain="one-a" if number % 2 == 0 else "two-a",
            )
        for _ in range(vms):
            gate.add_vm(await fleet.add_vm())
        for vm in fleet.vms:
            await fleet.wait_for_upstreams(vm, upstreams)
        yield gate

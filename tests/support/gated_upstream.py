"""Upstreams in the test process whose links to single VMs can fail."""

import asyncio
import contextlib
import hashlib
import os
import pathlib

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
        runs: Request id and upstream of each run, in order.
        health_checks: Health checks that were answered.
        cancelled: Requests whose VM disconnected before the response.
    """

    def __init__(self):
        self.runs = []
        self.health_checks = 0
        self.cancelled = 0
        self._modes = {}
        self._writers = {}
        self._pids = {}

    def add_vm(self, vm):
        self._pids[vm.process.pid] = vm.id

    def set_mode(self, vms, mode):
        for vm in vms:
            self._modes[vm.id] = mode
            if mode == RESET:
                for writer in self._writers.pop(vm.id, ()):
                    writer.transport.abort()

    def mode(self, vm_id):
        return self._modes.get(vm_id, OPEN)

    async def wait_open(self, vm_id):
        while self.mode(vm_id) == SILENT:
            await asyncio.sleep(0.02)

    @contextlib.contextmanager
    def connected(self, vm_id, writer):
        writers = self._writers.setdefault(vm_id, set())
        writers.add(writer)
        try:
            yield
        finally:
            writers.discard(writer)

    def vm_of(self, host, port):
        """Returns the id of the VM that owns a client socket."""
        inode = _inode_of(host, port)
        for pid, vm_id in self._pids.items():
            with contextlib.suppress(OSError):
                for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
                    with contextlib.suppress(OSError):
                        if os.readlink(entry) == f"socket:[{inode}]":
                            return vm_id
        return None


def _inode_of(host, port):
    """Returns the inode of the local socket that is bound to an address."""
    packed = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    wanted = f"{packed}:{port:04X}"
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == wanted:
            return fields[9]
    return None


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
        vm_id = self._gate.vm_of(*writer.get_extra_info("peername"))
        try:
            if self._gate.mode(vm_id) in (RESET, NO_NEW):
                return
            with self._gate.connected(vm_id, writer):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    await self._gate.wait_open(vm_id)
                    await self._handle(head.decode(), reader, writer)
                    await self._gate.wait_open(vm_id)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _handle(self, head, reader, writer):
        first, *lines = head.rstrip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        await reader.readexactly(int(headers.get("content-length", 0)))
        if first.split()[1] == "/healthz":
            self._gate.health_checks += 1
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return
        request_id = headers["x-bramleyworks-attempt-id"]
        self._gate.runs.append((request_id, self.name))
        self._running += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self._running -= 1
        seal = hashlib.sha256(request_id.encode()).hexdigest()[:12]
        body = f"{self.name} {request_id}".encode()
        writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"X-Bramleyworks-Attempt-Id: {request_id}\r\n"
                f"X-Bramleyworks-Response-Seal: {seal}\r\n"
                f"X-Bramleyworks-Server-Load: {self._running},0,{SLOTS}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )


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
            await fleet.register(upstream.name, slots=SLOTS)
        for _ in range(vms):
            gate.add_vm(await fleet.add_vm())
        for vm in fleet.vms:
            await fleet.wait_for_upstreams(vm, upstreams)
        yield gate

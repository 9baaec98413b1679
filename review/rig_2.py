"""Runs a small deployment for the cases of the second review.

The project's programs run as separate processes, with the command of the
deploy file, on loopback addresses. The store is the project's stand-in
``bramleyworks_standins.kv_store``. Servers and clients run in the process of
the case; they use the standard library only.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
KEY = "key-of-tenant-one"
HOST = "shop.example"
TENANT = "tenant-one"
BEAT_S = 1.5
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
[vm]
id = {id}
region = norte
failure_domain = {zone}
ip = {ip}
regions = norte-a:norte norte-b:norte

[listen]
entry = {ip}:{entry}
ready = {ip}:{ready}
control = {ip}:{control}
directory = {ip}:{directory}
first_port = {first}
metrics_port = {metrics}

[seeds]
control = {seeds}

[store]
address = {store}

[limits]
grace_s = {grace_s}
retry_ratio = 0.2
retry_slack = 62
retry_window_s = 10
max_shift = 0.15
lookup_ttl_s = 5
quota_window_s = 5
quota_over = 0.1
quota_slack = 20
link_mbps = 1000.0
shed_by_rank = uneven
ram_mb = 300
max_fds = 4100
client_memory_mb =
client_conns =
client_work =
turn_work =

[duty]
address =
names =
calls_per_s =
report_s =
usage_late_s =
lease_ms =
is_fenced =
"""


def rule(name, kind, prefix, service, **action):
    """Returns one rule of a configuration."""
    public = action.pop("public", False)
    sticky = action.pop("sticky", False)
    goal_ms = action.pop("goal_ms", 500)
    return {
        "name": name,
        "kind": kind,
        "goal_ms": goal_ms,
        "priority": 1,
        "public": public,
        "sticky": sticky,
        "match": {"prefix": prefix},
        "action": {
            "service": service,
            "timeout_ms": 3000,
            "attempts": 2,
            "home_regions": [],
        }
        | action,
    }


RULES = (
    rule("stock", "safe", "/stock/", "balcao"),
    rule("order", "unsafe", "/order/", "balcao"),
)


def config(
    version, rules=RULES, keys=(KEY,), services=("balcao",), limits=None
):
    """Returns a configuration with the limits of the small sites."""
    return {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        | (limits or {}),
        "tenants": [
            {
                "name": TENANT,
                "api_keys": list(keys),
                "priority": 1,
                "rate_per_s": 0,
                "burst": 0,
                "home_regions": [],
            }
        ],
        "base_ver": "r1",
        "listeners": [{"host": HOST, "rules": list(rules)}],
        "clusters": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 390,
                "proto": "h1",
                "tls": False,
                "cold_s": 3.0,
                "cold_per_s": 5.2,
            }
            for name in services
        ],
    }


class CaseError(Exception):
    """The case could not run."""


def free_port(ip):
    """Returns a port that is free now for TCP and UDP."""
    while True:
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind((ip, port))
                return port


def encode(value):
    """Returns a value of the store as the platform writes it."""
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.b64encode(raw).decode()


async def call(address, method, path, body=b"", timeout_s=5.0, headers=()):
    """Makes one HTTP call; returns status, headers and body."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *headers]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            lines.append("Connection: close")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_response(reader)
        finally:
            writer.close()


async def read_response(reader):
    """Reads one whole response; raises if it is cut short."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif status in (204, 304):
        body = b""
    else:
        body = await reader.read()
    return status, headers, body


class Vm:
    """One process of the gateway."""

    def __init__(self, name, ip, zone, settings, path):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings = settings
        self.path = path
        self.process = None
        self.entry = f"{ip}:{settings['entry']}"
        self.ready = f"{ip}:{settings['ready']}"
        self.directory = f"{ip}:{settings['directory']}"

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def rss_mb(self):
        """Returns the memory that the process holds."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def send(self, signum):
        """Sends a signal to the process."""
        self.process.send_signal(signum)


class Rig:
    """Owns the processes and the record of one case."""

    def __init__(self, folder):
        self._folder = pathlib.Path(folder)
        self._lines = []
        self._stack = contextlib.ExitStack()
        self._started_s = time.monotonic()
        self._processes = []
        self._beats = []
        self.tmp = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.store = None
        self.vms = []
        self.servers = []
        self.grace_s = 6

    def now_s(self):
        return time.monotonic() - self._started_s

    def record(self, text):
        """Adds one line to the record."""
        self._lines.append(f"{self.now_s():8.3f} {text}")

    def close(self):
        """Ends all processes and writes the record."""
        for task in self._beats:
            task.cancel()
        for process in self._processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        (self._folder / "record.txt").write_text(
            "".join(f"{line}\n" for line in self._lines)
        )
        self._stack.close()

    def spawn(self, args, env, output=subprocess.DEVNULL):
        """Starts a process."""
        process = subprocess.Popen(
            args,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "PYTHONDONTWRITEBYTECODE": "1",
            }
            | env,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        self._processes.append(process)
        return process

    async def start_store(self):
        """Starts the stand-in of the store."""
        self.store = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.spawn(
            [
                sys.executable,
                "-m",
                "bramleyworks_standins.kv_store",
                self.store,
            ],
            {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'target/deps'}"},
            (self.tmp / "store.log").open("wb"),
        )
        await self.wait_for(self._is_store_up, 15, "the store does not start")

    async def _is_store_up(self):
        try:
            status, _, _ = await call(self.store, "GET", "/status")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_for(self, check, timeout_s, reason):
        """Waits until a check holds."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await check():
                return
            await asyncio.sleep(0.1)
        raise CaseError(reason)

    async def write(self, puts=None, remove=()):
        """Writes to the store as the operator or a server."""
        body = json.dumps(
            {
                "puts": {k: encode(v) for k, v in (puts or {}).items()},
                "remove": list(remove),
            }
        ).encode()
        await call(self.store, "POST", "/operator", body)

    async def set_store(self, **body):
        """Sets what the stand-in of the store does."""
        await call(self.store, "POST", "/faults", json.dumps(body).encode())

    async def rows(self):
        """Returns what the store has."""
        _, _, raw = await call(self.store, "GET", "/status")
        return {
            k: base64.b64decode(v) for k, v in json.loads(raw)["rows"].items()
        }

    async def add_server(self, server, zone="norte-a"):
        """Starts a server in this process, and its registration."""
        await server.start(zone)
        self.servers.append(server)
        self._beats.append(asyncio.create_task(self._beat(server)))
        await asyncio.sleep(0)
        return server

    async def _beat(self, server):
        while True:
            if server.is_registered:
                server.seq += 1
                with contextlib.suppress(OSError, TimeoutError):
                    await self.write({f"servers/{server.id}": server.entry()})
            await asyncio.sleep(BEAT_S)

    async def add_vm(self, number, zone="norte-a"):
        """Starts one process of the gateway and waits until it is ready."""
        ip = f"127.0.2.{number}"
        values = {
            name: free_port(ip)
            for name in (
                "entry",
                "ready",
                "control",
                "directory",
                "first",
                "metrics",
            )
        }
        path = self.tmp / f"vm-{number}.ini"
        vm = Vm(f"front-{zone}-{number}", ip, zone, values, path)
        self.vms.append(vm)
        self.write_settings(vm)
        await self.start_vm(vm)
        return vm

    def write_settings(self, vm):
        """Writes the settings file of a process."""
        seeds = ",".join(
            f"{v.ip}:{v.settings['control']}" for v in self.vms[:3]
        )
        vm.path.write_text(
            SETTINGS.format(
                id=vm.name,
                zone=vm.zone,
                ip=vm.ip,
                seeds=seeds,
                store=self.store,
                grace_s=self.grace_s,
                **vm.settings,
            )
        )

    async def start_vm(self, vm, wait=True):
        """Starts the process with the command of the deploy file."""
        vm.process = self.spawn(
            ["python3", "src/bramleyworks_gateway.py"],
            {
                "BRAMLEYWORKS_CONFIG": str(vm.path),
                "SSL_CERT_FILE": "/dev/null",
                "PYTHONPATH": str(ROOT / "target/deps"),
            },
            (self.tmp / f"{vm.name}.log").open("ab"),
        )
        if wait:
            await self.wait_ready(vm)

    async def wait_ready(self, vm, timeout_s=20):
        async def check():
            return await self.is_ready(vm)

        await self.wait_for(check, timeout_s, f"{vm.name} does not start")

    async def is_ready(self, vm, timeout_s=1.0):
        try:
            status, _, _ = await call(
                vm.ready, "GET", "/v1/readyz", timeout_s=timeout_s
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def log(self, vm):
        """Returns what a process has written."""
        return (self.tmp / f"{vm.name}.log").read_text(errors="replace")


class Server:
    """A sound server as the pages describe it."""

    def __init__(self, name, service="balcao", slots=5, work_s=0.05):
        self.id = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.is_registered = True
        self.state = "ready"
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = []
        self._limit = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._listening = None
        self._writers = set()

    async def start(self, zone, ip="127.0.3.1", port=0):
        self.zone = zone
        self._listening = await asyncio.start_server(self._serve, ip, port)
        host, port = self._listening.sockets[0].getsockname()[:2]
        self.addr = f"{host}:{port}"

    def stop(self):
        """Ends as a process that is killed."""
        self.is_registered = False
        self._listening.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        return {
            "service": self.service,
            "addr": self.addr,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    def seal(self, body):
        return hashlib.sha256(self.id.encode() + body).hexdigest()[:16]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").rstrip().split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            while (await reader.readline()).strip():
                pass
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        if target == "/healthz":
            await self.send(
                writer, 200, {"X-Bramleyworks-Instance-Id": self.id}, b""
            )
            return True
        wanted = headers.get("x-bramleyworks-target-instance")
        if wanted not in (None, self.id):
            await self.send(writer, 421, {"X-Bramleyworks-Not-Run": "1"}, b"")
            return True
        attempt = headers.get("x-bramleyworks-attempt-id", "")
        if not attempt:
            await self.send(writer, 400, {"X-Bramleyworks-Not-Run": "1"}, b"")
            return True
        if self._waiting >= 2 * self.slots:
            await self.send(
                writer,
                503,
                {
                    "X-Bramleyworks-Not-Run": "1",
                    "X-Bramleyworks-Attempt-Id": attempt,
                },
                b"",
            )
            return True
        return await self.handle(
            method, target, headers, body, attempt, reader, writer
        )

    async def handle(
        self, method, target, headers, body, attempt, reader, writer
    ):
        """Runs a request and answers it."""
        self._waiting += 1
        try:
            await self._limit.acquire()
        finally:
            self._waiting -= 1
        if reader.at_eof() or reader.exception() is not None:
            # A request is dropped when its connection closes.
            self._limit.release()
            return False
        self._running += 1
        try:
            self.runs.append((attempt, method, target, headers, body))
            await self.work(target)
        finally:
            self._running -= 1
            self._limit.release()
        await self.answer(method, target, body, attempt, writer)
        return True

    async def work(self, target):
        await asyncio.sleep(self.work_s)

    async def answer(self, method, target, body, attempt, writer):
        text = f"{self.id} {method} {target} ".encode() + body[:64]
        await self.send(
            writer,
            200,
            {
                "X-Bramleyworks-Attempt-Id": attempt,
                "X-Bramleyworks-Response-Seal": self.seal(text),
            },
            text,
        )

    async def send(self, writer, status, headers, body):
        headers = headers | {
            "X-Bramleyworks-Server-Load": (
                f"{self._running},{self._waiting},{self.slots}"
            ),
            "Content-Length": str(len(body)),
        }
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


_count = 0


def new_id():
    """Returns the id of one client attempt."""
    global _count
    _count += 1
    return f"{os.getpid():x}-{_count:08x}"


def request(method, target, attempt, body=b"", deadline_ms=3000, extra=()):
    """Returns the bytes of one request of a client."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Bramleyworks-Attempt-Id: {attempt}",
        f"X-Bramleyworks-Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {KEY}",
        *extra,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Conn:
    """A client's connection that is kept open."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self, timeout_s=1.0):
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            self.reader, self.writer = await asyncio.open_connection(
                host, int(port)
            )
        return self

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def receive(self, timeout_s=5.0):
        async with asyncio.timeout(timeout_s):
            return await read_response(self.reader)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()


def run(folder, case, limit_s=110):
    """Runs a case; exits with its result."""
    rig = Rig(folder)

    async def main():
        async with asyncio.timeout(limit_s):
            return await case(rig)

    result = NOT_RUN
    try:
        result = asyncio.run(main())
    except (CaseError, OSError, TimeoutError) as exc:
        rig.record(f"the case could not run: {exc!r}")
    finally:
        rig.record(f"result {result}")
        rig.close()
    sys.exit(result)

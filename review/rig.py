"""Starts a small deployment on loopback addresses and records what it does.

The entry VMs run with the command of ``deploy/system.toml`` and settings that
are filled in from ``deploy/vm.ini``. The store is the project's stand-in, the
servers are those of ``server.py``. Nothing here changes the project.
"""

import asyncio
import base64
import contextlib
import ctypes
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "shop.example"
# A script may run for 120 s.
CASE_LIMIT_S = 110
KEY = "key-one"
SERVICES = ("desk", "gate")
# Bounds of the small site granlus-plinto.
BOUNDS = {
    "grace_s": 6,
    "retry_ratio": 0.2,
    "retry_slack": 62,
    "retry_window_s": 10,
    "max_shift": 0.15,
    "ttl_max_s": 5,
    "quota_window_s": 5,
    "quota_over": 0.1,
    "quota_slack": 20,
}
CONTACT_S = 4.0
DRAIN_S = 2.5
ZONES = {
    "norte-a": "norte",
    "centro-a": "centro",
    "sul-a": "sul",
    "norte-b": "norte",
    "centro-b": "centro",
    "sul-b": "sul",
}
RESET = struct.pack("ii", 1, 0)
# Below the ports that outgoing connections take.
PORTS = range(20_000, 32_000)


def free_port(ips=("127.0.0.1",)):
    """Returns a port that is free on some loopback addresses."""
    for port in random.sample(PORTS, 2000):
        with contextlib.ExitStack() as stack:
            try:
                for ip, kind in itertools.product(
                    ips, (socket.SOCK_STREAM, socket.SOCK_DGRAM)
                ):
                    sock = stack.enter_context(
                        socket.socket(socket.AF_INET, kind)
                    )
                    sock.bind((ip, port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


class CannotRunError(Exception):
    """The case could not be played."""


def _die_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Process:
    """A process of the case."""

    def __init__(self, argv, env, log_path):
        with open(log_path, "ab") as log:
            self._popen = subprocess.Popen(
                argv,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_die_with_parent,
            )
        self.started_s = time.monotonic()

    def signal(self, number):
        """Sends a signal if the process has not ended."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    @property
    def exit_code(self):
        """Exit code, None while it runs."""
        return self._popen.poll()

    def end(self):
        """Kills the process and waits."""
        self.signal(signal.SIGKILL)
        self._popen.wait(5)


class Link:
    """A loopback proxy to the store that can be cut without a word."""

    def __init__(self, target):
        self._target = target
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._server = None
        self.address = ""
        # Watches that were asked for, and those whose answer was delivered.
        self.watches = 0
        self.answered_watches = 0

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def cut(self):
        """Holds all bytes of both directions until ``heal``."""
        self._is_open.clear()

    def heal(self):
        """Lets bytes through again."""
        self._is_open.set()

    async def _serve(self, reader, writer):
        host, port = self._target.split(":")
        with contextlib.ExitStack() as stack:
            stack.callback(writer.transport.abort)
            await self._is_open.wait()
            try:
                up_reader, up_writer = await asyncio.open_connection(host, port)
            except OSError:
                return
            stack.callback(up_writer.transport.abort)
            await asyncio.gather(
                self._send_up(reader, up_writer),
                self._send_down(up_reader, writer, reader),
            )

    async def _send_up(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._is_open.wait()
                self.watches += data.count(b"/v1/kv-watch")
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _send_down(self, reader, writer, client):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._is_open.wait()
                # A client that has given up has closed its side.
                if not client.at_eof():
                    self.answered_watches += data.count(b'"events"')
                writer.write(data)
                await writer.drain()
        writer.close()


class Vm:
    """An entry VM: addresses, settings and process."""

    def __init__(self, name, zone, ip):
        self.name = name
        self.zone = zone
        self.region = ZONES[zone]
        self.ip = ip
        self.process = None
        self.link = None
        self.settings = None


class Rig:
    """Owns the processes, files and connections of one case."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = open(pathlib.Path(folder) / "record.txt", "w")
        self._stack = contextlib.ExitStack()
        self._tmp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._started_s = time.monotonic()
        self._ids = itertools.count(1)
        self._run = f"{os.getpid():x}{int(time.time()):x}"
        self.vms = []
        self.servers = {}
        self.entries = {}
        self.store = ""

    def __enter__(self):
        if "KEEP" not in os.environ:
            self._stack.callback(shutil.rmtree, self._tmp, True)
        self.note("case", trouble=self.trouble)
        return self

    def __exit__(self, *exc):
        self._stack.close()
        self._record.close()

    def note(self, event, **fields):
        """Writes a line to ``record.txt``."""
        line = {"t": round(time.monotonic() - self._started_s, 3)}
        self._record.write(json.dumps(line | {"event": event} | fields) + "\n")
        self._record.flush()

    def at(self, monotonic_s):
        """Returns a time as seconds since the start of the case."""
        return round(monotonic_s - self._started_s, 3)

    def _env(self, **more):
        paths = f"{ROOT / 'src'}{os.pathsep}{ROOT / 'target/deps'}"
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        return kept | {
            "PYTHONPATH": paths,
            "PYTHONDONTWRITEBYTECODE": "1",
            **more,
        }

    def _start(self, name, argv, env):
        process = Process(argv, env, self._tmp / f"{name}.out")
        self._stack.callback(process.end)
        return process

    # The store.

    async def start_store(self):
        """Starts the project's stand-in for the store."""
        self.store = f"127.0.0.1:{free_port()}"
        self._start(
            "store",
            [
                sys.executable,
                "-m",
                "bramleyworks_standins.kv_store",
                self.store,
            ],
            self._env(),
        )
        await self.until(
            lambda: self.call(self.store, "GET", "/status"), "store"
        )

    async def write(self, puts=(), remove=()):
        """Writes to the store as operators and servers do; returns the time."""
        body = {
            "puts": {
                key: base64.b64encode(json.dumps(value).encode()).decode()
                for key, value in dict(puts).items()
            },
            "remove": list(remove),
        }
        status, _, _ = await self.call(
            self.store, "POST", "/operator", json.dumps(body).encode()
        )
        if status != 200:
            raise CannotRunError(f"the store answered {status}")
        acked_s = time.monotonic()
        self.note("store", puts=sorted(dict(puts)), removed=list(remove))
        return acked_s

    async def write_config(self, rules, version=1, services=SERVICES, **limits):
        """Writes a configuration with some rules."""
        config = {
            "version": f"r{version}",
            "limits": {
                "max_header_bytes": 8192,
                "max_body_bytes": 1_000_000,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            }
            | limits,
            "tenants": [
                {
                    "name": "org-one",
                    "api_keys": [KEY],
                    "priority": 1,
                    "rate_per_s": 0,
                    "burst": 0,
                    "home_regions": [],
                }
            ],
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_conns": 390,
                    "cold_s": 3.0,
                    "cold_per_s": 5.2,
                }
                for name in services
            ],
        }
        return await self.write({"op/config": config})

    # Servers.

    async def add_server(
        self,
        name,
        zone,
        slots=5,
        work_ms=100,
        service="desk",
        fault=None,
        cold_left_ms=0,
    ):
        """Starts a server and registers it."""
        argv = [sys.executable, str(ROOT / "review/server.py")]
        tail = [name, str(slots), str(work_ms)]
        tail += [str(self._tmp / f"{name}.jsonl")] + ([fault] if fault else [])
        for _ in range(3):
            # Another process may take the port first.
            address = f"127.0.0.1:{free_port()}"
            process = self._start(name, [*argv, address, *tail], self._env())

            async def has_started(address=address, process=process):
                if process.exit_code is not None:
                    return True
                return await self.call(address, "GET", "/healthz")

            await self.until(has_started, name)
            if process.exit_code is None:
                break
        self.servers[name] = process
        self.entries[name] = {
            "service": service,
            "addr": address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_left_ms": cold_left_ms,
            "seq": 0,
            "born": int(time.time() * 1000),
        }
        await self.beat(name, cold_left_ms)

    async def beat(self, name, cold_left_ms=0):
        """Writes the entry of a server again, as it does each 1.5 s."""
        entry = self.entries[name]
        entry |= {"cold_left_ms": cold_left_ms, "seq": entry["seq"] + 1}
        await self.write({f"servers/{name}": entry})

    def server_events(self):
        """Returns what the servers have recorded, in order of time."""
        found = []
        for name in self.servers:
            path = self._tmp / f"{name}.jsonl"
            if path.exists():
                found += [json.loads(line) for line in path.open()]
        return sorted(found, key=lambda event: event["t"])

    # Entry VMs.

    async def add_vms(self, zones, with_links=False):
        """Starts one VM for each zone named and waits until all are ready."""
        ips = [
            f"127.0.{50 + n // 200}.{n % 200 + 1}" for n in range(len(zones))
        ]
        ports = {
            name: free_port(ips)
            for name in ("entry", "ready", "control", "directory", "peer")
        }
        metrics = free_port(ips)
        seeds = ",".join(f"{ip}:{ports['control']}" for ip in ips[:3])
        for number, (zone, ip) in enumerate(zip(zones, ips, strict=True)):
            vm = Vm(f"front-{zone}-{number}", zone, ip)
            if with_links:
                vm.link = Link(self.store)
                await vm.link.start()
            values = {
                "node": vm.name,
                "region": vm.region,
                "zone": zone,
                "ip": ip,
                "listen.front": f"{ip}:{ports['entry']}",
                "listen.ready": f"{ip}:{ports['ready']}",
                "listen.control": f"{ip}:{ports['control']}",
                "listen.directory": f"{ip}:{ports['directory']}",
                "port_range.0": ports["peer"],
                "seeds": seeds,
                "provider.addr": vm.link.address if vm.link else self.store,
                "limits.link_mbps": 1000.0,
            }
            values |= {f"bounds.{k}": v for k, v in BOUNDS.items()}
            vm.entry = f"{ip}:{ports['entry']}"
            vm.ready = f"{ip}:{ports['ready']}"
            vm.settings = self._tmp / f"{vm.name}.ini"
            vm.settings.write_text(_fill_in(values, metrics))
            self.vms.append(vm)
            self.start_vm(vm)
        for vm in self.vms:
            await self.until(lambda vm=vm: self.is_ready(vm), vm.name)
        self.note("ready", vms=[vm.name for vm in self.vms])

    def start_vm(self, vm):
        """Starts the process of a VM with the command of the deploy file."""
        vm.process = self._start(
            vm.name,
            [sys.executable, "src/bramleyworks_gateway.py"],
            self._env(
                BRAMLEYWORKS_CONFIG=str(vm.settings), SSL_CERT_FILE="/dev/null"
            ),
        )
        self.note("started", vm=vm.name)

    async def is_ready(self, vm):
        """Returns whether the readiness check of a VM answers 200."""
        return (await self.call(vm.ready, "GET", "/v1/readyz"))[0] == 200

    # Calls.

    def next_id(self):
        """Returns the id of a new client attempt."""
        return f"{self._run}{next(self._ids):06x}"

    def head(
        self, path, req_id, method="GET", deadline_ms=5000, body=b"", key=None
    ):
        """Returns a client's request."""
        self.note("sent", id=req_id, method=method, path=path)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Bramleyworks-Attempt-Id: {req_id}",
            f"X-Bramleyworks-Deadline-Ms: {deadline_ms}",
            f"X-Api-Key: {KEY}",
        ]
        if key is not None:
            lines.append(f"X-Bramleyworks-Affinity-Key: {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def read_answer(self, reader):
        """Reads an answer to a client and records it.

        Raises:
            EOFError: The connection ended before the answer was complete.
        """
        answer = await read_answer(reader)
        req_id = answer[1].get("x-bramleyworks-attempt-id")
        self.note("answer", id=req_id, status=answer[0], bytes=len(answer[2]))
        return answer

    async def call(self, address, method, path, body=b"", timeout_s=3.0):
        """Makes one call of an interface on a connection of its own."""
        host, port = address.split(":")
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                head += f"Content-Length: {len(body)}\r\n"
                head += "Connection: close\r\n\r\n"
                writer.write(head.encode() + body)
                return await read_answer(reader)
            finally:
                writer.transport.abort()

    async def until(self, check, what, timeout_s=20.0):
        """Waits until a check holds."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                if await check():
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{what} did not come")


async def read_answer(reader):
    """Reads one answer; returns status, headers and body.

    Raises:
        EOFError: The connection ended before the answer was complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, headers, body


def _fill_in(values, metrics_port):
    """Fills in ``deploy/vm.ini`` as the platform does."""
    text = (ROOT / "deploy/vm.ini").read_text()
    zones = " ".join(f"{zone}:{region}" for zone, region in ZONES.items())
    text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", zones, text)
    text = re.sub(r"\{\{([^}]+)\}\}", lambda found: str(values[found[1]]), text)
    return re.sub(
        r"(?m)^metrics_port = .*$", f"metrics_port = {metrics_port}", text
    )


def rule(
    name,
    kind,
    prefix,
    service="desk",
    timeout_ms=5000,
    attempts=2,
    sticky=False,
):
    """Returns one rule of a configuration."""
    return {
        "name": name,
        "kind": kind,
        "goal_ms": 400,
        "priority": 1,
        "public": False,
        "sticky": sticky,
        "match": {"prefix": prefix},
        "action": {
            "service": service,
            "timeout_ms": timeout_ms,
            "attempts": attempts,
            "home_regions": [],
        },
    }


def play(folder, case):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, else 2.

    Args:
        folder: Folder of the case, for ``record.txt``.
        case: Coroutine function that gets the rig and returns the violations.
    """

    async def run():
        with Rig(folder) as rig:
            async with asyncio.timeout(CASE_LIMIT_S):
                violations = await case(rig)
            for event in rig.server_events():
                # The time of the event replaces that of the line.
                rig.note(**event | {"t": rig.at(event["t"])})
            for violation in violations[:20]:
                rig.note("violation", what=violation)
            rig.note("verdict", violations=len(violations))
            print(f"{len(violations)} violations", *violations[:3], sep="\n  ")
            return 1 if violations else 0

    try:
        sys.exit(asyncio.run(run()))
    except Exception as exc:
        traceback.print_exc()
        print(f"the case could not run: {exc!r}")
        sys.exit(2)

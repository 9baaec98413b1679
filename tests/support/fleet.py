"""Fleet of processes on loopback for process tests.

The fleet owns every process that it starts and kills all of them when its
context exits. If a process is not ready in time, the error contains the end of
its log.
"""

import asyncio
import configparser
import contextlib
import dataclasses
import pathlib
import time
import uuid

import aiohttp
from support import child
from support import ports

from bramleyworks import errors
from bramleyworks.adapters import http_session
from bramleyworks.adapters import store_http
from bramleyworks.document import codec
from bramleyworks.document import stored_config

READY_TIMEOUT_S = 15.0
REQUEST_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
# Short, because a paused process accepts connections but never responds.
READINESS_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
STANDINS_PACKAGE = "bramleyworks_standins"


@dataclasses.dataclass
class Vm:
    """An entry VM, whose daemon process may be replaced."""

    id: str
    region: str
    failure_domain: str
    http: str
    peer: str
    state: str = "live"
    process: child.Child | None = None

    @property
    def url(self):
        return f"http://{self.http}"


class Fleet:
    """Starts, configures and ends the processes.

    Attributes:
        http: Client session for requests of the test, without retries.
        children: Latest process by name.
        urls: Base URL of each stand-in by name.
        vms: Entry VMs by id.
        kv: Client of the store, None until the store is started.
    """

    def __init__(
        self,
        folder,
        daemon_module="bramleyworks.daemon",
        drain_s=10.0,
        python_path=(),
    ):
        self._folder = pathlib.Path(folder)
        self._daemon_module = daemon_module
        self._drain_s = drain_s
        self._python_path = python_path
        self._stack = contextlib.AsyncExitStack()
        self._processes = []
        self.http: aiohttp.ClientSession | None = None
        self.kv: store_http.HttpStore | None = None
        self.children: dict[str, child.Child] = {}
        self.urls: dict[str, str] = {}
        self.vms: dict[str, Vm] = {}

    async def __aenter__(self):
        self._stack.callback(self._kill_children)
        self.http = await self._stack.enter_async_context(
            http_session.create(REQUEST_TIMEOUT_S)
        )
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def _kill_children(self):
        # Processes are killed, since a daemon drains for seconds after SIGTERM.
        # Tests of graceful stops send SIGTERM and wait themselves.
        for process in self._processes:
            process.close()

    def _start(self, name, module, args, python_path=()):
        process = child.Child(
            name, module, args, self._folder / f"{name}.log", python_path
        )
        self._processes.append(process)
        self.children[name] = process
        return process

    async def start_standin(self, name, kind, /, **options):
        """Starts a stand-in, waits until it is ready and returns its base URL.

        A restart under the same name keeps the port.
        """
        url = self.urls.get(name) or f"http://127.0.0.1:{ports.free_port()}"
        args = ["--port", url.rpartition(":")[2]]
        for key, value in options.items():
            args += [f"--{key.replace('_', '-')}", value]
        self.urls[name] = url
        process = self._start(name, f"{STANDINS_PACKAGE}.{kind}", args)
        await self._wait_ready(process, f"{url}/-/faults")
        return url

    async def start_store(self):
        url = await self.start_standin("store", "store")
        if self.kv is None:
            self.kv = await self._stack.enter_async_context(
                store_http.HttpStore(url)
            )
        return url

    async def start_vm_list(self, lag_s=0.2):
        return await self.start_standin("vm_list", "vm_list", lag_s=lag_s)

    async def start_upstream(self, name, version="v1", slots=5, **options):
        return await self.start_standin(
            name, "upstream", name=name, version=version, slots=slots, **options
        )

    def add_vm(self, vm_id, region, failure_domain):
        """Adds a VM and its addresses without starting its daemon."""
        vm = Vm(
            vm_id,
            region,
            failure_domain,
            http=f"127.0.0.1:{ports.free_port()}",
            peer=f"127.0.0.1:{ports.free_port()}",
        )
        self.vms[vm_id] = vm
        return vm

    async def publish_vms(self):
        """Posts all VMs, with their states, to the VM list."""
        fields = ("id", "region", "failure_domain", "http", "peer", "state")
        vms = [
            {name: getattr(vm, name) for name in fields}
            for vm in self.vms.values()
        ]
        await self.post(f"{self.urls['vm_list']}/vms", {"vms": vms})

    def settings(self, vm):
        """Returns a daemon's settings (docs/design.md, section 2.2).

        The key ``address`` is omitted: the daemon rejects it as unknown and
        reads its address from the section ``listen``.
        """
        seeds = [other.peer for other in self.vms.values() if other is not vm]
        return {
            "vm": {
                "id": vm.id,
                "region": vm.region,
                "failure_domain": vm.failure_domain,
            },
            "listen": {"http": vm.http, "peer": vm.peer},
            "store": {"url": self.urls["store"]},
            "vm_list": {"url": self.urls["vm_list"]},
            "seeds": {"peers": ",".join(seeds)},
            "limits": {"drain_s": str(self._drain_s)},
            "log": {"level": "info"},
        }

    def start_daemon(self, vm):
        """Starts the daemon of a VM, or restarts it after it has exited."""
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(self.settings(vm))
        path = self._folder / f"{vm.id}.ini"
        with open(path, "w", encoding="utf-8") as file:
            parser.write(file)
        vm.process = self._start(
            vm.id, self._daemon_module, ["--config", path], self._python_path
        )
        return vm.process

    async def start_daemons(self):
        """Starts the daemons of all VMs and waits until they respond."""
        for vm in self.vms.values():
            self.start_daemon(vm)
        for vm in self.vms.values():
            await self.wait_ready(vm)

    async def wait_ready(self, vm, timeout_s=READY_TIMEOUT_S):
        await self._wait_ready(vm.process, f"{vm.url}/-/status", timeout_s)

    async def _wait_ready(self, process, url, timeout_s=READY_TIMEOUT_S):
        end_s = time.monotonic() + timeout_s
        last_error = "no response"
        while time.monotonic() < end_s:
            if process.exit_code() is not None:
                last_error = f"exit code {process.exit_code()}"
                break
            try:
                async with self.http.get(
                    url, timeout=READINESS_TIMEOUT
                ) as resp:
                    if resp.status == 200:
                        return
                    last_error = f"status {resp.status}"
            except (aiohttp.ClientError, TimeoutError) as exc:
                last_error = repr(exc)
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(
            f"{process.name} is not ready: {last_error}\n{process.tail()}"
        )

    async def write_document(self, doc, author="test"):
        """Writes a document as the next version; returns the version.

        Like the operators' command line, it reads the version and revision
        first, and reads the document back if the outcome of the write is
        unknown.
        """
        entry = await self.kv.get(stored_config.CONFIG_KEY)
        version = 1
        if entry is not None:
            stored = codec.decode_stored(entry.value).unwrap()
            version = stored.version + 1
        new = stored_config.StoredConfig(
            version=version,
            apply_id=uuid.uuid4().hex,
            author=author,
            time_s=time.time(),
            doc=doc,
        )
        try:
            await self.kv.put(
                stored_config.CONFIG_KEY,
                codec.encode_stored(new),
                entry.revision if entry else 0,
            )
        except errors.StoreUnknownError:
            found = await self.kv.get(stored_config.CONFIG_KEY)
            if codec.decode_stored(found.value).unwrap() != new:
                raise
        return version

    async def wait_version(self, version, vms=None, timeout_s=READY_TIMEOUT_S):
        """Waits until daemons use a version; returns the seconds waited."""
        started_s = time.monotonic()
        for vm in self.vms.values() if vms is None else vms:
            await self.wait_for(
                lambda vm=vm: self._has_version(vm, version),
                f"{vm.id} with version {version}",
                started_s + timeout_s - time.monotonic(),
            )
        return time.monotonic() - started_s

    async def _has_version(self, vm, version):
        try:
            status = await self.get(
                f"{vm.url}/-/status", timeout=READINESS_TIMEOUT
            )
        except (aiohttp.ClientError, TimeoutError):
            return False
        return status.get("config_version", 0) >= version

    async def wait_for(self, check, what, timeout_s=READY_TIMEOUT_S):
        """Polls an asynchronous check until it returns a truthy value.

        Returns:
            The truthy value.
        """
        end_s = time.monotonic() + timeout_s
        while True:
            found = await check()
            if found:
                return found
            if time.monotonic() >= end_s:
                raise AssertionError(f"timed out waiting for {what}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def get(self, url, **kwargs):
        """Returns the JSON response of a GET request."""
        async with self.http.get(url, **kwargs) as resp:
            return await resp.json()

    async def post(self, url, content):
        """Posts JSON and returns the JSON response."""
        async with self.http.post(url, json=content) as resp:
            if resp.status != 200:
                raise AssertionError(f"{url}: {await resp.text()}")
            return await resp.json()

    async def faults(self, name, **switches):
        """Sets fault switches of a stand-in."""
        return await self.post(f"{self.urls[name]}/-/faults", switches)

    async def runs(self, name):
        """Returns the counters of the requests that an upstream ran."""
        return await self.get(f"{self.urls[name]}/-/runs")

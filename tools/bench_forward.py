"""Compares the daemon with the naive forwarder on loopback in one run."""

import asyncio
import hashlib
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import aiohttp
import click

from bramleyworks.adapters import store_http
from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import key
from bramleyworks.document import organisation
from bramleyworks.document import region
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.document import stored_config
from bramleyworks.document import upstream

API_KEY = "benchmark-key"
PORTS = {
    "store": 18000,
    "list": 18001,
    "upstream": 18002,
    "naive": 18003,
    "http": 18004,
    "peer": 18005,
}
WARM_UP_REQUESTS = 500
READY_TIMEOUT_S = 20.0
# A new slot owner uses only one slot of an upstream whose load report never
# changes, until the longest request that may be running there has ended.
MAX_REQUEST_S = 2.0
SLOTS = 64
MIB_BYTES = 1024 * 1024


def _document() -> document.Document:
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    return document.Document(
        regions=(region.Region("sudo", ("d1",)),),
        organisations=(
            organisation.Organisation(
                "bench", 1e6, 1e6, keys=(key.Key("k1", digest),)
            ),
        ),
        services=(
            service.Service(
                "store-desk", "v1", max_request_s=MAX_REQUEST_S, warmup_s=0.0
            ),
        ),
        routes=(route.Route("/", "store-desk"),),
        upstreams=(
            upstream.Upstream(
                "u1",
                "store-desk",
                "v1",
                "sudo",
                "d1",
                f"http://127.0.0.1:{PORTS['upstream']}",
                SLOTS,
            ),
        ),
    )


def _settings() -> str:
    return f"""
[vm]
id = vm1
region = sudo
failure_domain = d1
[listen]
http = 127.0.0.1:{PORTS["http"]}
peer = 127.0.0.1:{PORTS["peer"]}
[store]
url = http://127.0.0.1:{PORTS["store"]}
[vm_list]
url = http://127.0.0.1:{PORTS["list"]}
"""


class BenchProcesses:
    """Starts and stops the processes of one comparison.

    Attributes:
        daemon: The daemon, None before it is started.
        naive: The naive forwarder, None before it is started.
    """

    def __init__(self, directory: pathlib.Path):
        self._directory = directory
        self._children: list[subprocess.Popen] = []
        self.daemon: subprocess.Popen | None = None
        self.naive: subprocess.Popen | None = None

    def start(self, *args: str) -> subprocess.Popen:
        """Starts a module of this repository in a new process."""
        child = subprocess.Popen(
            [sys.executable, "-m", *args],
            env={**os.environ, "PYTHONPATH": "src"},
        )
        self._children.append(child)
        return child

    def close(self) -> None:
        """Terminates all started processes and kills those that do not exit."""
        for child in self._children:
            child.terminate()
        for child in self._children:
            try:
                child.wait(15)
            except subprocess.TimeoutExpired:
                child.kill()

    async def set_up(self) -> None:
        """Starts all processes and waits until both targets serve requests."""
        self.start("bramleyworks_standins.store", "--port", _port("store"))
        self.start("bramleyworks_standins.vm_list", "--port", _port("list"))
        self.start(
            "bramleyworks_lab.bare_upstream", "--port", _port("upstream")
        )
        self.naive = self.start(
            "bramleyworks_lab.naive_forwarder",
            "--port",
            _port("naive"),
            "--upstream",
            f"http://127.0.0.1:{PORTS['upstream']}",
        )
        stored = stored_config.StoredConfig(
            1, "bench", "bench", time.time(), _document()
        )
        url = f"http://127.0.0.1:{PORTS['store']}"
        async with store_http.HttpStore(url) as store:
            await _wait_until_ready(lambda: store.get(stored_config.CONFIG_KEY))
            await store.put(
                stored_config.CONFIG_KEY, codec.encode_stored(stored), 0
            )
        path = self._directory / "vm1.ini"
        path.write_text(_settings())
        self.daemon = self.start("bramleyworks.daemon", "--config", str(path))
        async with aiohttp.ClientSession() as session:
            vms = [
                {
                    "id": "vm1",
                    "region": "sudo",
                    "failure_domain": "d1",
                    "http": f"127.0.0.1:{PORTS['http']}",
                    "peer": f"127.0.0.1:{PORTS['peer']}",
                    "state": "live",
                }
            ]
            vms_url = f"http://127.0.0.1:{PORTS['list']}/vms"
            await _wait_until_ready(
                lambda: session.post(vms_url, json={"vms": vms})
            )
            for name in ("naive", "http"):
                await _wait_until_ready(
                    lambda name=name: _check_served(session, name)
                )
            await _wait_until_ready(lambda: _check_free_slots(session))


async def _check_served(session: aiohttp.ClientSession, name: str) -> bool:
    async with session.get(
        f"http://127.0.0.1:{PORTS[name]}/stock",
        headers={"Authorization": f"Bearer {API_KEY}"},
    ) as resp:
        await resp.read()
        if resp.status != 200:
            raise ConnectionError(f"status {resp.status}")
        return True


async def _check_free_slots(session: aiohttp.ClientSession) -> None:
    url = f"http://127.0.0.1:{PORTS['http']}/-/status"
    async with session.get(url) as resp:
        status = await resp.json()
    if status["free_slots"].get("store-desk", 0) < SLOTS:
        raise ConnectionError("the slot owner does not use all slots yet")


async def _wait_until_ready(check) -> None:
    started_s = time.monotonic()
    while True:
        try:
            await check()
            return
        except Exception:  # noqa: BLE001 - any error means not ready yet
            if time.monotonic() - started_s > READY_TIMEOUT_S:
                raise
            await asyncio.sleep(0.1)


def _port(name: str) -> str:
    return str(PORTS[name])


def run_load(name: str, connections: int, requests: int) -> dict[str, float]:
    """Runs the load generator in a separate process.

    Args:
        name: Port name of the target, see ``PORTS``.
        connections: Number of concurrent connections.
        requests: Number of requests.

    Returns:
        The printed results by name.
    """
    output = subprocess.run(
        [
            sys.executable,
            "-m",
            "bramleyworks_lab.http_load",
            "--port",
            _port(name),
            "--path",
            "/v1/entry?client=127.0.0.1" if name == "entry" else "/stock",
            "--connections",
            str(connections),
            "--requests",
            str(requests),
            "--key",
            API_KEY,
        ],
        env={**os.environ, "PYTHONPATH": "src"},
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    pairs = (item.split("=") for item in output.split())
    return {name: float(value) for name, value in pairs}


def _cpu_s(pid: int) -> float:
    """Returns the CPU time used by a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _peak_rss_bytes(pid: int) -> int:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in text.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


async def _stream_document(size_bytes: int) -> None:
    async with aiohttp.ClientSession() as session:
        async with session.get(
            f"http://127.0.0.1:{PORTS['http']}/documents/{size_bytes}",
            headers={"Authorization": f"Bearer {API_KEY}"},
        ) as resp:
            received_bytes = 0
            async for chunk in resp.content.iter_any():
                received_bytes += len(chunk)
    if received_bytes != size_bytes:
        raise RuntimeError(f"got {received_bytes} of {size_bytes} bytes")


def compare(
    pids: dict[str, int], connections: int, requests: int, rounds: int
) -> None:
    """Prints one row with the rates, median latencies and CPU times of both.

    CPU time per request depends less than the rates on other load on the
    machine.

    Args:
        pids: Process id by port name.
        connections: Number of concurrent connections.
        requests: Number of requests of each run.
        rounds: Number of runs of each target.
    """
    results: dict[str, list[dict[str, float]]] = {"naive": [], "http": []}
    cpu_s = {name: -_cpu_s(pid) for name, pid in pids.items()}
    for round_number in range(rounds):
        order = ("naive", "http") if round_number % 2 else ("http", "naive")
        for name in order:
            results[name].append(run_load(name, connections, requests))
    cpu_us = {
        name: (cpu_s[name] + _cpu_s(pid)) * 1e6 / (requests * rounds)
        for name, pid in pids.items()
    }
    rate = {
        name: statistics.median(result["rate_per_s"] for result in runs)
        for name, runs in results.items()
    }
    p50 = {
        name: statistics.median(result["p50_us"] for result in runs)
        for name, runs in results.items()
    }
    click.echo(
        f"forward connections={connections:2d}"
        f" naive={rate['naive']:.0f}/s daemon={rate['http']:.0f}/s"
        f" ratio={rate['http'] / rate['naive']:.2f}"
        f" naive_p50={p50['naive']:.0f}us daemon_p50={p50['http']:.0f}us"
        f" added={(p50['http'] - p50['naive']) / 1000:.3f}ms"
        f" naive_cpu={cpu_us['naive']:.0f}us daemon_cpu={cpu_us['http']:.0f}us"
    )


@click.command()
@click.option("--requests", default=4000, help="Number of requests per run.")
@click.option("--rounds", default=5, help="Runs per target; targets alternate.")
def main(requests: int, rounds: int) -> None:
    """Prints throughput, latency and memory growth."""
    with tempfile.TemporaryDirectory() as directory:
        processes = BenchProcesses(pathlib.Path(directory))
        try:
            asyncio.run(processes.set_up())
            for name in ("naive", "http"):
                run_load(name, 4, WARM_UP_REQUESTS)
            pids = {"naive": processes.naive.pid, "http": processes.daemon.pid}
            compare(pids, 1, requests, rounds)
            compare(pids, 16, requests, rounds)
            before_bytes = _peak_rss_bytes(processes.daemon.pid)
            asyncio.run(_stream_document(50 * MIB_BYTES))
            growth_bytes = _peak_rss_bytes(processes.daemon.pid) - before_bytes
            click.echo(
                "stream 50 MiB: peak memory grew"
                f" {growth_bytes / MIB_BYTES:.1f} MiB"
            )
        finally:
            processes.close()


if __name__ == "__main__":
    main()

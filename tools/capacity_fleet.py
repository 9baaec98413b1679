"""Costs of real daemons, measured on fleets of processes on loopback."""

import asyncio
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from support import fleet

from bramleyworks_lab.capacity import row
from bramleyworks_lab.capacity import synthetic

SIZES = (4, 16, 48)
START_AT_ONCE = 12
SETTLE_S = 6.0
WINDOW_S = 6.0
OUTAGE_S = 3.0
# Watchers reconnect with a random delay of up to 2 s.
RUSH_S = 2.0
RESTART_WINDOW_S = 4.0
LOOKUPS = (500, 1000, 2000)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB = 1024 * 1024
LIBRARIES = (
    "absl.logging, aiohttp, click, hdrh.histogram, httptools, jinja2, msgspec,"
    " numpy, prometheus_client, result, starlette.applications, uvicorn,"
    " uvloop, zmq.asyncio"
)
PROGRAMS = (
    ("bare interpreter", "pass"),
    ("interpreter with numpy", "import numpy"),
    ("interpreter with the named libraries", f"import {LIBRARIES}"),
    ("interpreter with the daemon modules", "import bramleyworks.daemon.main"),
)

Values = dict[str, float]


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mib(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / MIB


def idle_mib(program: str) -> float:
    """Returns the memory of an interpreter that runs a program and idles."""
    code = f"{program}; print('ready', flush=True); input()"
    with subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        process.stdout.readline()
        found = rss_mib(process.pid)
        process.kill()
    return found


async def _start(flt: fleet.Fleet, count: int) -> None:
    await flt.start_store()
    await flt.start_vm_list()
    for number in range(count):
        flt.add_vm(synthetic.vm_name(number), *synthetic.place(number))
    await flt.publish_vms()
    # Upstreams are left out: only loopback may be probed.
    await flt.write_document(synthetic.stored(0).doc)
    vms = list(flt.vms.values())
    for first in range(0, count, START_AT_ONCE):
        batch = vms[first : first + START_AT_ONCE]
        for vm in batch:
            flt.start_daemon(vm)
        for vm in batch:
            await flt.wait_ready(vm)
    await flt.wait_version(1)
    await asyncio.sleep(SETTLE_S)


async def _sample(flt: fleet.Fleet) -> Values:
    found = {
        "cpu_s": sum(cpu_s(vm.process.pid) for vm in flt.vms.values()),
        "at_s": time.monotonic(),
        "sent_bytes": 0.0,
        "received_bytes": 0.0,
        "received": 0.0,
    }
    for vm in flt.vms.values():
        link = (await flt.get(f"{vm.url}/-/status"))["link"]
        for name in ("sent_bytes", "received_bytes", "received"):
            found[name] += link.get(name, 0)
    return found


async def _store_calls(flt: fleet.Fleet) -> Values:
    counts = await flt.get(f"{flt.urls['store']}/-/counts")
    return {
        "reads": counts["get"] + counts["watch"],
        "writes": counts["put"] + counts["lease"] + counts["release"],
    }


async def _steady(flt: fleet.Fleet) -> Values:
    count = len(flt.vms)
    before, calls = await _sample(flt), await _store_calls(flt)
    await asyncio.sleep(WINDOW_S)
    after, later = await _sample(flt), await _store_calls(flt)
    length_s = after["at_s"] - before["at_s"]

    def each(name: str) -> float:
        return (after[name] - before[name]) / length_s / count

    return {
        "daemon-cpu": each("cpu_s") * 1000,
        "daemon-rss": sum(rss_mib(vm.process.pid) for vm in flt.vms.values())
        / count,
        "daemon-sent": each("sent_bytes"),
        "daemon-received": each("received_bytes"),
        "daemon-messages": each("received"),
        "store-reads": (later["reads"] - calls["reads"]) / length_s,
        "store-writes": (later["writes"] - calls["writes"]) / length_s,
    }


async def _restart(flt: fleet.Fleet) -> Values:
    vm = list(flt.vms.values())[-1]
    vm.process.kill()
    started_s = time.monotonic()
    flt.start_daemon(vm)
    await flt.wait_ready(vm)

    async def fresh():
        status = await flt.get(f"{vm.url}/-/status")
        return status if status["fresh"] else None

    await flt.wait_for(fresh, f"{vm.id} with fresh evidence")
    fresh_s = time.monotonic() - started_s
    await asyncio.sleep(RESTART_WINDOW_S)
    status = await flt.get(f"{vm.url}/-/status")
    return {
        "restart-fresh": fresh_s,
        "restart-received": status["link"].get("received_bytes", 0.0),
    }


async def _outage(flt: fleet.Fleet) -> Values:
    await flt.faults("store", down=True)
    await asyncio.sleep(OUTAGE_S)
    await flt.faults("store", down=False)
    before = await _store_calls(flt)
    await asyncio.sleep(RUSH_S)
    after = await _store_calls(flt)
    return {
        "rush-reads": (after["reads"] - before["reads"]) / RUSH_S,
        "rush-writes": (after["writes"] - before["writes"]) / RUSH_S,
    }


async def _change(flt: fleet.Fleet) -> Values:
    started_s = time.monotonic()
    version = await flt.write_document(synthetic.stored(0).doc)
    await flt.wait_version(version)
    return {"change-in-force": time.monotonic() - started_s}


async def measure_fleet(count: int) -> Values:
    """Runs one fleet and returns its values by name."""
    with tempfile.TemporaryDirectory() as folder:
        async with fleet.Fleet(folder) as flt:
            await _start(flt, count)
            return {
                **await _steady(flt),
                **await _change(flt),
                **await _restart(flt),
                **await _outage(flt),
            }


async def _look_up(flt: fleet.Fleet, url: str, count: int) -> float:
    vm = next(iter(flt.vms.values()))
    before_s = cpu_s(vm.process.pid)
    for number in range(count):
        await flt.get(f"{url}?client=10.{number % 200}.1.1")
    return (cpu_s(vm.process.pid) - before_s) * 1000


async def measure_lookups() -> tuple[float, ...]:
    """Returns the processor time in ms for each number of look-ups."""
    with tempfile.TemporaryDirectory() as folder:
        async with fleet.Fleet(folder) as flt:
            await _start(flt, 2)
            url = f"{next(iter(flt.vms.values())).url}/v1/entry"
            return tuple([await _look_up(flt, url, n) for n in LOOKUPS])


UNITS = {
    "daemon-cpu": "ms/s",
    "daemon-rss": "MiB",
    "daemon-sent": "bytes/s",
    "daemon-received": "bytes/s",
    "daemon-messages": "1/s",
    "store-reads": "1/s, fleet",
    "store-writes": "1/s, fleet",
    "change-in-force": "s",
    "restart-fresh": "s",
    "restart-received": "bytes",
    "rush-reads": "1/s, fleet",
    "rush-writes": "1/s, fleet",
}


async def rows(sizes: tuple[int, ...] = SIZES) -> list[row.Row]:
    """Measures the fleets one after the other."""
    found = [await measure_fleet(count) for count in sizes]
    made = [
        row.make(
            name,
            "daemons",
            unit,
            sizes,
            tuple(float(values[name]) for values in found),
        )
        for name, unit in UNITS.items()
    ]
    messages = tuple(round(values["daemon-messages"]) for values in found)
    spent = tuple(values["daemon-cpu"] for values in found)
    made.append(
        row.make(
            "daemon-cpu-by-messages", "messages/s", "ms/s", messages, spent
        )
    )
    lookups = await measure_lookups()
    made.append(
        row.make("lookup-daemon-cpu", "look-ups", "ms", LOOKUPS, lookups)
    )
    return made

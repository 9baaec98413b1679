"""Measures the costs of daemons in fleets of processes on loopback."""

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

FLEET_SIZES = (4, 16, 48)
START_BATCH_SIZE = 12
SETTLE_S = 6.0
STEADY_WINDOW_S = 6.0
OUTAGE_S = 3.0
# Store watchers reconnect after a random delay of up to 2 s.
RECONNECT_WINDOW_S = 2.0
RESTART_WINDOW_S = 4.0
LOOKUP_COUNTS = (500, 1000, 2000)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB_BYTES = 1024 * 1024
LIBRARIES = (
    "absl.logging, aiohttp, click, hdrh.histogram, httptools, jinja2, msgspec,"
    " numpy, prometheus_client, result, starlette.applications, uvicorn,"
    " uvloop, zmq.asyncio"
)
BASELINE_PROGRAMS = (
    ("bare interpreter", "pass"),
    ("interpreter with numpy", "import numpy"),
    ("interpreter with the named libraries", f"import {LIBRARIES}"),
    ("interpreter with the daemon modules", "import bramleyworks.daemon.main"),
)

Values = dict[str, float]


def cpu_s(pid: int) -> float:
    """Returns the CPU time used by a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mib(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / MIB_BYTES


def idle_rss_mib(program: str) -> float:
    """Returns the resident memory in MiB of an idle interpreter.

    Args:
        program: Python code to run before the measurement.
    """
    code = f"{program}; print('ready', flush=True); input()"
    with subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        process.stdout.readline()
        resident_mib = rss_mib(process.pid)
        process.kill()
    return resident_mib


async def _start(flt: fleet.Fleet, count: int) -> None:
    await flt.start_store()
    await flt.start_vm_list()
    for number in range(count):
        flt.add_vm(synthetic.vm_name(number), *synthetic.place(number))
    await flt.publish_vms()
    # Upstreams are left out because only loopback addresses may be probed.
    await flt.write_document(synthetic.stored(0).doc)
    vms = list(flt.vms.values())
    for first in range(0, count, START_BATCH_SIZE):
        batch = vms[first : first + START_BATCH_SIZE]
        for vm in batch:
            flt.start_daemon(vm)
        for vm in batch:
            await flt.wait_ready(vm)
    await flt.wait_version(1)
    await asyncio.sleep(SETTLE_S)


async def _sample_totals(flt: fleet.Fleet) -> Values:
    totals = {
        "cpu_s": sum(cpu_s(vm.process.pid) for vm in flt.vms.values()),
        "at_s": time.monotonic(),
        "sent_bytes": 0.0,
        "received_bytes": 0.0,
        "received": 0.0,
    }
    for vm in flt.vms.values():
        link = (await flt.get(f"{vm.url}/-/status"))["link"]
        for name in ("sent_bytes", "received_bytes", "received"):
            totals[name] += link.get(name, 0)
    return totals


async def _count_store_calls(flt: fleet.Fleet) -> Values:
    counts = await flt.get(f"{flt.urls['store']}/-/counts")
    return {
        "reads": counts["get"] + counts["watch"],
        "writes": counts["put"] + counts["lease"] + counts["release"],
    }


async def _measure_steady_state(flt: fleet.Fleet) -> Values:
    count = len(flt.vms)
    before, calls_before = (
        await _sample_totals(flt),
        await _count_store_calls(flt),
    )
    await asyncio.sleep(STEADY_WINDOW_S)
    after, calls_after = (
        await _sample_totals(flt),
        await _count_store_calls(flt),
    )
    elapsed_s = after["at_s"] - before["at_s"]

    def rate_per_daemon(name: str) -> float:
        return (after[name] - before[name]) / elapsed_s / count

    return {
        "daemon-cpu": rate_per_daemon("cpu_s") * 1000,
        "daemon-rss": sum(rss_mib(vm.process.pid) for vm in flt.vms.values())
        / count,
        "daemon-sent": rate_per_daemon("sent_bytes"),
        "daemon-received": rate_per_daemon("received_bytes"),
        "daemon-messages": rate_per_daemon("received"),
        "store-reads": (calls_after["reads"] - calls_before["reads"])
        / elapsed_s,
        "store-writes": (calls_after["writes"] - calls_before["writes"])
        / elapsed_s,
    }


async def _measure_restart(flt: fleet.Fleet) -> Values:
    vm = list(flt.vms.values())[-1]
    vm.process.kill()
    started_s = time.monotonic()
    flt.start_daemon(vm)
    await flt.wait_ready(vm)

    async def get_fresh_status():
        status = await flt.get(f"{vm.url}/-/status")
        return status if status["fresh"] else None

    await flt.wait_for(get_fresh_status, f"{vm.id} to become fresh")
    fresh_s = time.monotonic() - started_s
    await asyncio.sleep(RESTART_WINDOW_S)
    status = await flt.get(f"{vm.url}/-/status")
    return {
        "restart-fresh": fresh_s,
        "restart-received": status["link"].get("received_bytes", 0.0),
    }


async def _measure_store_outage(flt: fleet.Fleet) -> Values:
    await flt.faults("store", down=True)
    await asyncio.sleep(OUTAGE_S)
    await flt.faults("store", down=False)
    before = await _count_store_calls(flt)
    await asyncio.sleep(RECONNECT_WINDOW_S)
    after = await _count_store_calls(flt)
    return {
        "rush-reads": (after["reads"] - before["reads"]) / RECONNECT_WINDOW_S,
        "rush-writes": (after["writes"] - before["writes"])
        / RECONNECT_WINDOW_S,
    }


async def _measure_config_change(flt: fleet.Fleet) -> Values:
    started_s = time.monotonic()
    version = await flt.write_document(synthetic.stored(0).doc)
    await flt.wait_version(version)
    return {"change-in-force": time.monotonic() - started_s}


async def measure_fleet(count: int) -> Values:
    """Runs a fleet and measures its costs.

    Args:
        count: Number of daemons.

    Returns:
        The measured values by name, see ``UNITS``.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with fleet.Fleet(folder) as flt:
            await _start(flt, count)
            return {
                **await _measure_steady_state(flt),
                **await _measure_config_change(flt),
                **await _measure_restart(flt),
                **await _measure_store_outage(flt),
            }


async def _measure_lookup_cpu_ms(
    flt: fleet.Fleet, url: str, count: int
) -> float:
    vm = next(iter(flt.vms.values()))
    before_s = cpu_s(vm.process.pid)
    for number in range(count):
        await flt.get(f"{url}?client=10.{number % 200}.1.1")
    return (cpu_s(vm.process.pid) - before_s) * 1000


async def measure_lookups() -> tuple[float, ...]:
    """Returns the CPU time in ms for each of ``LOOKUP_COUNTS``."""
    with tempfile.TemporaryDirectory() as folder:
        async with fleet.Fleet(folder) as flt:
            await _start(flt, 2)
            url = f"{next(iter(flt.vms.values())).url}/v1/entry"
            return tuple(
                [
                    await _measure_lookup_cpu_ms(flt, url, n)
                    for n in LOOKUP_COUNTS
                ]
            )


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


async def measure_rows(sizes: tuple[int, ...] = FLEET_SIZES) -> list[row.Row]:
    """Measures a fleet of each size in turn and returns the table rows."""
    fleet_values = [await measure_fleet(count) for count in sizes]
    table_rows = [
        row.make(
            name,
            "daemons",
            unit,
            sizes,
            tuple(float(values[name]) for values in fleet_values),
        )
        for name, unit in UNITS.items()
    ]
    messages = tuple(
        round(values["daemon-messages"]) for values in fleet_values
    )
    cpu_ms_per_s = tuple(values["daemon-cpu"] for values in fleet_values)
    table_rows.append(
        row.make(
            "daemon-cpu-by-messages",
            "messages/s",
            "ms/s",
            messages,
            cpu_ms_per_s,
        )
    )
    lookups = await measure_lookups()
    table_rows.append(
        row.make("lookup-daemon-cpu", "look-ups", "ms", LOOKUP_COUNTS, lookups)
    )
    return table_rows

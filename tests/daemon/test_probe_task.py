"""Tests of the probe task.

Guards against a slow upstream that delays the probes of other upstreams.
"""

import asyncio

import result

from bramleyworks import errors
from bramleyworks.daemon import probe_task
from bramleyworks.document import upstream
from bramleyworks.policy import probe_result
from bramleyworks_lab import virtual_loop

READING = probe_result.ProbeResult("ok", 0, 5, "v1")


class FakeProber:
    def __init__(self):
        self.slow = set()
        self.broken = set()

    async def read(self, url):
        await asyncio.sleep(2.5 if url in self.slow else 0.01)
        if url in self.broken:
            return result.Err(errors.PlatformError("probe.read", url, "x"))
        return result.Ok(READING)


class FakeSlots:
    def __init__(self, names):
        self.names = names
        self.results = []

    def owned(self):
        return {
            n: upstream.Upstream(n, "s", "v1", "A", "f", n, 5)
            for n in self.names
        }

    def on_probe(self, name, reading, started_s):
        self.results.append((name, reading))


def run(prober, names, change=None):
    async def main():
        slots = FakeSlots(names)
        loop = asyncio.get_running_loop()
        task = probe_task.ProbeTask(prober, slots, clock=loop.time)
        running = asyncio.create_task(task.run())
        await asyncio.sleep(5.5)
        if change:
            change(slots)
            await asyncio.sleep(5.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return slots.results

    return virtual_loop.run(main())


def test_slow_upstream_delays_only_its_own_probes():
    prober = FakeProber()
    prober.slow.add("b")
    names = [name for name, _ in run(prober, ["a", "b"])]
    assert names.count("a") == 6
    assert names.count("b") == 1 + 1


def test_failed_probe_is_reported_as_none():
    prober = FakeProber()
    prober.broken.add("a")
    assert run(prober, ["a"]) == [("a", None)] * 6


def test_only_owned_upstreams_are_probed():
    def change(slots):
        slots.results.clear()
        slots.names = ["b"]

    assert {name for name, _ in run(FakeProber(), ["a"], change)} == {"b"}

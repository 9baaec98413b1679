"""Requests that end each upstream that runs them, with real processes."""

import asyncio
import contextlib
import json

import pytest
from support import platform_fleet

DEADLY = "/stock/66"
RESTART_S = 1.0
# Sendings that are allowed later than this after the third upstream has ended.
ALLOWED_AFTER_S = 4.0
ALLOWED_SENDINGS = 3


class _CrashingFleet:
    """Replaces upstreams that have ended by new ones with other ids."""

    def __init__(self, fleet, fault=f"deadly={DEADLY}"):
        self.fleet = fleet
        self.fault = fault
        self.ended = []
        self._count = 0

    async def start(self, count):
        for _ in range(count):
            await self._add()

    async def _add(self):
        self._count += 1
        name = f"u{self._count}"
        await self.fleet.add_upstream(name)
        await self.fleet.upstream_fault(name, self.fault)

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            for name, (_, process) in list(self.fleet.upstreams.items()):
                if process.exit_code() is None:
                    continue
                self.ended.append((name, process))
                del self.fleet.upstreams[name]
                await asyncio.sleep(RESTART_S)
                await self.fleet.write_store(remove=[f"servers/{name}"])
                await self._add()

    def deadly_runs(self):
        """Returns the times at which upstreams began to run the request."""
        processes = [p for _, p in self.ended]
        processes += [p for _, p in self.fleet.upstreams.values()]
        runs = [
            json.loads(line)
            for process in processes
            for line in process.log().splitlines()
            if line.startswith("{")
        ]
        return sorted(r["at_s"] for r in runs if r["target"] == DEADLY)


@contextlib.asynccontextmanager
async def _crashing_fleet(folder, vms=3, upstreams=5):
    async with platform_fleet.Fleet(folder) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        crashing = _CrashingFleet(fleet)
        await crashing.start(upstreams)
        for _ in range(vms):
            await fleet.add_vm()
        for vm in fleet.vms:
            await fleet.wait_for_upstreams(vm, upstreams)
        restarts = asyncio.create_task(crashing.run())
        try:
            yield fleet, crashing
        finally:
            restarts.cancel()


async def _send(fleet, path, seconds, pause_s, **options):
    """Sends a request to all VMs in turn; returns status and headers."""
    found = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        vm = fleet.vms[len(found) % len(fleet.vms)]
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            status, headers, _, _ = await fleet.send_request(
                vm, path, **options
            )
            found.append((status, headers))
        await asyncio.sleep(pause_s)
    return found


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_request_that_ends_each_upstream_is_kept_from_the_others(
    tmp_path, method
):
    """Guards the other callers, and the upstreams that are left."""
    body = b"x=1" if method == "POST" else None
    async with _crashing_fleet(tmp_path) as (fleet, crashing):
        deadly, others = await asyncio.gather(
            _send(fleet, DEADLY, 12.0, 0.2, method=method, body=body),
            _send(fleet, "/stock/1", 12.0, 0.03),
        )
        runs = crashing.deadly_runs()
        late = [at_s for at_s in runs if at_s > runs[2] + ALLOWED_AFTER_S]
        assert len(late) <= ALLOWED_SENDINGS
        assert len(runs) < 12
        served = sum(status == 200 for status, _ in others)
        assert served > 0.9 * len(others)
        refused = [h for status, h in deadly if status == 503]
        assert refused
        assert float(refused[-1]["Retry-After"]) > 60.0


async def test_vm_that_starts_learns_which_requests_are_quarantined(tmp_path):
    async with _crashing_fleet(tmp_path, vms=2) as (fleet, crashing):
        await _send(fleet, DEADLY, 6.0, 0.1)
        before = len(crashing.deadly_runs())
        fleet.vms[0].process.kill()
        await fleet.restart(fleet.vms[0])
        await asyncio.sleep(2.0)
        await _send(fleet, DEADLY, 4.0, 0.1)
        assert len(crashing.deadly_runs()) - before <= 1


async def test_other_requests_of_the_same_path_stay_served(tmp_path):
    async with _crashing_fleet(tmp_path, vms=2) as (fleet, crashing):
        await _send(fleet, DEADLY, 4.0, 0.1, method="POST", body=b"bad")
        crashing.fault = ""
        for name in list(fleet.upstreams):
            with contextlib.suppress(OSError):
                await fleet.upstream_fault(name, "")
        await asyncio.sleep(RESTART_S + 0.5)
        sent = await _send(fleet, DEADLY, 1.0, 0.05, method="POST", body=b"ok")
        assert sum(status == 200 for status, _ in sent) > 0.9 * len(sent)


async def test_popular_request_stays_served_while_upstreams_end_in_turn(
    tmp_path,
):
    """Guards against blaming a request for what happened beside it."""
    async with _crashing_fleet(tmp_path, vms=2) as (fleet, crashing):

        async def end_in_turn():
            for _ in range(4):
                await asyncio.sleep(1.5)
                name = next(iter(fleet.upstreams))
                fleet.upstreams[name][1].kill()

        results = await asyncio.gather(
            end_in_turn(),
            *(_send(fleet, "/stock/1", 8.0, 0.01) for _ in range(3)),
        )
        sent = [status for found in results[1:] for status, _ in found]
        assert sum(status == 200 for status in sent) > 0.97 * len(sent)
        assert not [
            e
            for vm in fleet.vms
            for e in vm.events()
            if e["event"] == "quarantine.started"
        ]

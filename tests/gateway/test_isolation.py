"""VMs that lose their links to upstreams, with real processes."""

import asyncio
import collections
import time

import pytest
from support import gated_upstream
from support import platform_fleet

VMS = 5
UPSTREAMS = 4
CUT_S = 8.0
# Time after the start of a cut from which its callers must be served.
DETECTION_S = 4.0
# Time after the end of a cut from which all callers must be served.
RECOVERY_S = 1.5
PERIOD_S = 0.05
DEADLINE_MS = 1500


class _Callers:
    """Callers that stay with their VM, one order for each two look-ups."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._tasks = set()
        self.results = []

    async def run(self, vm):
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self._send(vm, number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(PERIOD_S)

    async def _send(self, vm, number):
        sent_s = time.monotonic()
        is_order = number % 3 == 0
        try:
            status, _, _, request_id = await self._fleet.send_request(
                vm,
                "/order/1" if is_order else f"/stock/{number % 7}",
                "POST" if is_order else "GET",
                body=b"{}" if is_order else None,
                deadline_ms=DEADLINE_MS,
            )
        except OSError:
            status, request_id = 0, ""
        self.results.append((vm.id, sent_s, status, request_id, is_order))

    def served(self, vms, from_s, to_s):
        """Returns how many requests of an interval were served, and sent."""
        names = {vm.id for vm in vms}
        found = [
            status == 200
            for name, sent_s, status, _, _ in self.results
            if name in names and from_s <= sent_s < to_s
        ]
        return sum(found), len(found)


async def _play(tmp_path, mode, cut_count, cut_s=CUT_S):
    """Cuts some VMs off; returns callers, gate, fleet and both times."""
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        async with gated_upstream.gated_fleet(fleet, VMS, UPSTREAMS) as gate:
            callers = _Callers(fleet)
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(callers.run(vm)) for vm in fleet.vms]
                await asyncio.sleep(1.5)
                cut = fleet.vms[:cut_count]
                cut_at_s = time.monotonic()
                gate.set_mode(cut, mode)
                await asyncio.sleep(cut_s)
                healed_s = time.monotonic()
                gate.set_mode(cut, gated_upstream.OPEN)
                await asyncio.sleep(RECOVERY_S + 2.0)
                end_s = time.monotonic()
                for task in tasks:
                    task.cancel()
            await asyncio.sleep(DEADLINE_MS / 1000)
            return callers, gate, fleet, cut_at_s, healed_s, end_s


@pytest.mark.parametrize("cut_count", [2, 4])
@pytest.mark.parametrize(
    "mode",
    [gated_upstream.SILENT, gated_upstream.RESET, gated_upstream.NO_NEW],
)
async def test_callers_of_vms_without_upstreams_are_served(
    tmp_path, mode, cut_count
):
    callers, gate, fleet, cut_at_s, healed_s, end_s = await _play(
        tmp_path, mode, cut_count
    )
    cut, others = fleet.vms[:cut_count], fleet.vms[cut_count:]
    from_s = cut_at_s + DETECTION_S
    served, sent = callers.served(cut, from_s, healed_s)
    other_served, other_sent = callers.served(others, from_s, healed_s)
    failed = sent - served + other_sent - other_served
    assert served / sent >= 2 / 3 * other_served / other_sent
    assert failed <= 10 + (sent + other_sent) / 50
    served, sent = callers.served(fleet.vms, healed_s + RECOVERY_S, end_s)
    assert served >= 0.98 * sent
    runs = collections.Counter(request_id for request_id, _ in gate.runs)
    orders = {r[3] for r in callers.results if r[4]}
    assert all(runs[name] <= 1 for name in orders)
    refused = {r[3] for r in callers.results if r[2] == 503}
    assert not refused & set(runs)

"""VMs that lose their links to upstreams, with real processes."""

import asyncio
import collections
import contextlib
import itertools
import time

import pytest
from support import gated_upstream
from support import platform_fleet

VMS = 5
UPSTREAMS = 4
CUT_S = 6.5
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
                gate.set_mode(cut, mode, fleet.upstreams)
                await asyncio.sleep(cut_s)
                healed_s = time.monotonic()
                gate.set_mode(cut, gated_upstream.OPEN, fleet.upstreams)
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
    runs = collections.Counter(request_id for request_id, _, _ in gate.runs)
    orders = {r[3] for r in callers.results if r[4]}
    assert all(runs[name] <= 1 for name in orders)
    refused = {r[3] for r in callers.results if r[2] == 503}
    assert not refused & set(runs)


@pytest.mark.parametrize("mode", [gated_upstream.SILENT, gated_upstream.RESET])
async def test_links_that_fail_and_heal_in_series_run_no_order_twice(
    tmp_path, mode
):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        async with gated_upstream.gated_fleet(fleet, 4, UPSTREAMS) as gate:
            callers = _Callers(fleet)
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(callers.run(vm)) for vm in fleet.vms]
                for number in range(10):
                    cut = [fleet.vms[number % 3], fleet.vms[(number + 1) % 3]]
                    gate.set_mode(cut, mode, fleet.upstreams)
                    await asyncio.sleep(0.8)
                    gate.set_mode(cut, gated_upstream.OPEN, fleet.upstreams)
                    if number == 5:
                        fleet.vms[1].process.terminate()
                healed_s = time.monotonic()
                await asyncio.sleep(RECOVERY_S + 1.5)
                end_s = time.monotonic()
                for task in tasks:
                    task.cancel()
            await asyncio.sleep(DEADLINE_MS / 1000)
            runs = collections.Counter(run[0] for run in gate.runs)
            orders = {r[3] for r in callers.results if r[4]}
            assert all(runs[name] <= 1 for name in orders)
            refused = {r[3] for r in callers.results if r[2] == 503}
            assert not refused & set(runs)
            left = [vm for vm in fleet.vms if vm is not fleet.vms[1]]
            served, sent = callers.served(left, healed_s + RECOVERY_S, end_s)
            assert served >= 0.98 * sent


@contextlib.asynccontextmanager
async def _small_fleet(tmp_path, vms=3, **options):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store(
            {"op/config": platform_fleet.config(1, **options)}
        )
        async with gated_upstream.gated_fleet(fleet, vms, UPSTREAMS) as gate:
            # Callers keep all VMs in contact with upstreams.
            callers = _Callers(fleet)
            async with asyncio.TaskGroup() as group:
                task = group.create_task(callers.run(fleet.vms[-1]))
                yield fleet, gate
                task.cancel()


async def _isolate(fleet, gate, vms, mode=gated_upstream.RESET):
    """Cuts some VMs off and waits until they know."""
    gate.set_mode(vms, mode, fleet.upstreams)

    async def is_isolated():
        for vm in vms:
            await fleet.send_request(vm)
        return all(
            any(e["event"] == "isolation.started" for e in vm.events())
            for vm in vms
        )

    await fleet.wait_until(is_isolated, "isolation")


async def test_vm_that_starts_behind_a_cut_serves_its_callers(tmp_path):
    async with _small_fleet(tmp_path) as (fleet, gate):
        vm = await fleet.add_vm(wait=False)
        gate.add_vm(vm)
        gate.set_mode([vm], gated_upstream.RESET, fleet.upstreams)
        await fleet.wait_until(lambda: fleet.is_ready(vm), vm.id)
        await fleet.wait_for_upstreams(vm, UPSTREAMS)
        statuses = [(await fleet.send_request(vm))[0] for _ in range(10)]
        assert statuses.count(200) >= 8


async def test_cut_from_the_store_too_does_not_keep_callers_waiting(tmp_path):
    async with _small_fleet(tmp_path) as (fleet, gate):
        await fleet.store_faults({"down": True})
        vm = fleet.vms[0]
        await _isolate(fleet, gate, [vm])
        statuses = [(await fleet.send_request(vm))[0] for _ in range(10)]
        assert statuses == [200] * 10


async def test_streamed_body_is_passed_on_whole_and_once(tmp_path):
    async with _small_fleet(tmp_path) as (fleet, gate):
        vm = fleet.vms[0]
        await _isolate(fleet, gate, [vm])
        size = 300_000
        status, _, _, request_id = await fleet.send_request(
            vm, "/order/1", "POST", body=b"x" * size
        )
        assert status == 200
        runs = [run for run in gate.runs if run[0] == request_id]
        assert [run[2] for run in runs] == [size]


async def test_requests_that_are_passed_on_count_once_for_their_rate(tmp_path):
    rate, burst, seconds = 10, 10, 3
    async with _small_fleet(tmp_path, vms=2, rate=rate, burst=burst) as (
        fleet,
        gate,
    ):
        vm = fleet.vms[0]
        await _isolate(fleet, gate, [vm])
        await asyncio.sleep(seconds)
        served = 0
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            status, *_ = await fleet.send_request(vm)
            served += status == 200
            await asyncio.sleep(0.02)
        # The other VM's callers ask for twice the rate; half of it is left.
        assert served >= 0.3 * rate * seconds
        assert served <= rate * seconds + burst


async def test_requests_do_not_circle_between_vms_that_are_cut_off(tmp_path):
    async with _small_fleet(tmp_path) as (fleet, gate):
        await _isolate(fleet, gate, fleet.vms)
        await asyncio.sleep(1.0)
        checks = gate.health_checks
        for vm in fleet.vms:
            started_s = time.monotonic()
            status, headers, _, request_id = await fleet.send_request(vm)
            assert status == 503
            assert "Retry-After" in headers
            assert time.monotonic() - started_s < 0.3
            assert request_id not in {run[0] for run in gate.runs}
        assert gate.health_checks == checks


async def test_work_ends_when_the_caller_of_a_cut_vm_leaves(tmp_path):
    async with _small_fleet(tmp_path) as (fleet, gate):
        vm = fleet.vms[0]
        await _isolate(fleet, gate, [vm])
        gate.work_s = 1.0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                await fleet.send_request(vm)
        gate.work_s = gated_upstream.WORK_S

        async def has_ended():
            return gate.cancelled > 0

        await fleet.wait_until(has_ended, "the end of the work", 0.5)


async def test_look_ups_leave_out_vms_that_are_cut_off(tmp_path):
    async with _small_fleet(tmp_path) as (fleet, gate):
        cut, other = fleet.vms[0], fleet.vms[1]

        async def named(vm):
            url = vm.url(
                "directory", "/v1/resolve?name=x&region=one&zone=one-a"
            )
            async with fleet.http.get(url) as response:
                return {
                    a.split(":")[0] for a in (await response.json())["addrs"]
                }

        await _isolate(fleet, gate, [cut])

        async def is_left_out():
            return cut.ip not in await named(cut) | await named(other)

        await fleet.wait_until(is_left_out, "look-ups without the VM", 2.0)
        gate.set_mode([cut], gated_upstream.OPEN, fleet.upstreams)

        async def is_back():
            return cut.ip in await named(cut) & await named(other)

        await fleet.wait_until(is_back, "look-ups with the VM", 2.0)


@pytest.mark.parametrize("mode", [gated_upstream.SILENT, gated_upstream.RESET])
async def test_callers_are_served_when_one_region_of_upstreams_is_cut_off(
    tmp_path, mode
):
    async with _small_fleet(tmp_path) as (fleet, gate):
        vm = fleet.vms[0]
        callers = _Callers(fleet)
        task = asyncio.create_task(callers.run(vm))
        await asyncio.sleep(1.0)
        cut_at_s = time.monotonic()
        gate.set_mode([vm], mode, ["u1", "u3"])
        await asyncio.sleep(CUT_S)
        end_s = time.monotonic()
        task.cancel()
        await asyncio.sleep(DEADLINE_MS / 1000)
        served, sent = callers.served([vm], cut_at_s + DETECTION_S, end_s)
        assert served >= sent - (10 + sent / 50)


async def test_port_for_other_vms_is_closed_to_callers(tmp_path):
    async with _small_fleet(tmp_path) as (fleet, _):
        vm = fleet.vms[0]
        reader, writer = await asyncio.open_connection(vm.ip, vm.values["peer"])
        writer.write(b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()


async def test_leaving_upstream_gets_nothing_from_a_vm_that_was_cut_off(
    tmp_path,
):
    async with _small_fleet(tmp_path) as (fleet, gate):
        vm = fleet.vms[0]
        await _isolate(fleet, gate, [vm])
        # A VM that is told by one of its own callers passes nothing on to u1.
        gate.leaving_prefix = "/stock/told"
        gate.leaving = {"u1"}
        numbers = itertools.count()

        async def is_told():
            _, headers, _, _ = await fleet.send_request(
                vm, f"/stock/told{next(numbers)}"
            )
            return "Server-Leaving" in headers

        await fleet.wait_until(is_told, "a response of u1")
        gate.leaving = set()
        gate.set_mode([vm], gated_upstream.OPEN, fleet.upstreams)
        await asyncio.sleep(RECOVERY_S)
        sent = await asyncio.gather(
            *(fleet.send_request(vm) for _ in range(24))
        )
        ids = {request_id for _, _, _, request_id in sent}
        names = {name for request_id, name, _ in gate.runs if request_id in ids}
        assert names == {"u2", "u3", "u4"}

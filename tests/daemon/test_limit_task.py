"""Tests of limits against wrongful refusals, long waits and message floods."""

import asyncio
import random
import time

import pytest
from support import limit_fleet
from support import virtual_loop

from bramleyworks.daemon import limit_task
from bramleyworks.document import document
from bramleyworks.document import link_cap

RATE_PER_S = 100.0
BURST = 200.0


def run(scenario, organisations=None, count=10, settle_s=12.0):
    async def main(loop):
        limits = organisations or {"o": (RATE_PER_S, BURST)}
        fleet = limit_fleet.Fleet(loop, limit_fleet.make_config(limits))
        for index in range(count):
            fleet.start(f"vm{index}", limit_fleet.REGIONS[index % 3])
        await asyncio.sleep(settle_s)
        try:
            await scenario(loop, fleet)
        finally:
            await limit_fleet.cancel_other_tasks()

    virtual_loop.run(main)


async def offer(loop, fleet, weights, load, seconds, orgs, warm_s=5.0):
    """Offers Poisson traffic to a fleet.

    Args:
        loop: The virtual event loop.
        fleet: The fleet.
        weights: Relative load of each VM.
        load: Offered load of each organisation divided by its rate.
        seconds: Duration of the traffic.
        orgs: Names of the organisations.
        warm_s: Time at the start that is not counted.

    Returns:
        The numbers of requests and of refusals after warm-up.
    """
    rng = random.Random(7)
    start_s = loop.time()
    counts = [0, 0]

    async def wait(vm, limit, is_counted):
        if not await vm.limits.wait(limit, 1.0, loop.time() + 30.0):
            counts[1] += is_counted

    async def stream(vm, limit, per_s):
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            if loop.time() > start_s + seconds:
                return
            is_counted = loop.time() > start_s + warm_s
            counts[0] += is_counted
            if not vm.limits.try_take(limit, 1.0):
                waiting.append(loop.create_task(wait(vm, limit, is_counted)))

    waiting = []
    share = load * RATE_PER_S / sum(weights[: len(fleet.vms)])
    await asyncio.gather(
        *(
            stream(vm, f"org:{org}", weight * share)
            for vm, weight in zip(fleet.vms.values(), weights, strict=False)
            for org in orgs
        )
    )
    await asyncio.gather(*waiting)
    return counts


@pytest.mark.parametrize("dead", [0, 1])
@pytest.mark.parametrize("largest", [1, 4])
def test_load_below_the_rate_is_not_refused(largest, dead):
    async def scenario(loop, fleet):
        if dead:
            fleet.kill("vm9")
        weights = [largest, max(1, largest - 1), max(1, largest - 2), *[1] * 7]
        seen, refused = await offer(loop, fleet, weights, 0.7, 60.0, "op")
        print(f"{refused} of {seen} refused")
        assert seen > 7000
        assert refused == 0

    run(scenario, dict.fromkeys("op", (RATE_PER_S, BURST)))


def test_overload_stays_within_the_message_budget():
    async def scenario(loop, fleet):
        names = [f"o{index}" for index in range(8)]
        links = [vm.link for vm in fleet.vms.values()]
        before = [(link.sent, link.sent_bytes) for link in links]
        await offer(loop, fleet, [1] * 10, 3.0, 5.0, names)
        for link, (sent, sent_bytes) in zip(links, before, strict=True):
            # Asks and grants together may use their budgets and a burst of half
            # a second.
            assert link.sent - sent <= 5.3 * 36 + 18
            assert link.sent_bytes - sent_bytes <= 5.3 * 3000

    run(scenario, {f"o{index}": (RATE_PER_S, BURST) for index in range(8)})


def test_request_without_tokens_is_refused_after_the_wait():
    async def scenario(loop, fleet):
        vm = fleet.vms["vm0"]
        started_s = loop.time()
        assert not await vm.limits.take("org:o", 500.0, started_s + 9.0)
        assert 0.14 < loop.time() - started_s < 0.17
        started_s = loop.time()
        assert not await vm.limits.take("org:o", 500.0, started_s + 0.05)
        assert loop.time() - started_s < 0.07
        assert not await vm.limits.take("org:o", 500.0, started_s - 1.0)
        assert not await vm.limits.take("org:unknown", 1.0, started_s + 9.0)

    run(scenario)


def test_waiting_request_is_admitted_with_borrowed_tokens():
    async def scenario(loop, fleet):
        vm = fleet.vms["vm0"]
        # More than the VM's own share of 20 tokens, so that peers must lend.
        assert not vm.limits.try_take("org:o", 25.0)
        assert await vm.limits.wait("org:o", 25.0, loop.time() + 1.0)

    run(scenario)


def test_vm_without_units_borrows_tokens_during_a_store_outage():
    async def scenario(loop, fleet):
        fleet.store.down = True
        vm = fleet.start("vm10", "a")
        await asyncio.sleep(5.0)
        assert vm.ledger.units() == 0
        admitted = 0
        for _ in range(50):
            admitted += await vm.limits.take("org:o", 1.0, loop.time() + 1.0)
            await asyncio.sleep(0.1)
        assert admitted >= 45

    run(scenario)


def test_cancelled_wait_takes_no_tokens():
    async def scenario(loop, fleet):
        vm = fleet.vms["vm0"]
        waiting = loop.create_task(vm.limits.take("org:o", 500.0, 1e9))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.sleep(0.05)
        assert vm.limits.try_take("org:o", 1.0)

    run(scenario)


def test_removed_limit_refuses_its_waiting_requests():
    async def scenario(loop, fleet):
        vm = fleet.vms["vm0"]
        waiting = loop.create_task(vm.limits.take("org:o", 500.0, 1e9))
        await asyncio.sleep(0.01)
        vm.limits.on_config(limit_fleet.make_config({}))
        assert not await waiting
        assert not vm.limits.try_take("org:o", 1.0)

    run(scenario)


def test_link_caps_hold_in_every_second():
    doc = document.Document(
        link_caps=(link_cap.LinkCap("a", "b", 40.0, 1000.0),)
    )
    limits = limit_task.document_limits(doc)
    assert set(limits) == {"link:a:b:requests", "link:a:b:bits"}
    for name, cap in (("requests", 40.0), ("bits", 1000.0)):
        assert sum(limits[f"link:a:b:{name}"]) == cap


def test_try_take_is_fast():
    async def scenario(loop, fleet):
        vm = fleet.vms["vm0"]
        best_s = float("inf")
        for _ in range(5):
            started_s = time.perf_counter()
            for _ in range(2000):
                vm.limits.try_take("org:o", 0.001)
            best_s = min(best_s, time.perf_counter() - started_s)
        print(f"{best_s / 2000 * 1e6:.2f} us per call")
        # Far above the goal of 5 us, so that a busy machine does not fail it.
        assert best_s / 2000 < 50e-6

    run(scenario)

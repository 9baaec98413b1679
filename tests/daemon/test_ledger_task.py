"""Guards against units or upstreams of a fleet that have no owner."""

import asyncio
import collections

import pytest
from support import limit_fleet
from support import virtual_loop

from bramleyworks.policy import ledger

UPSTREAMS = 28


async def start_fleet(loop, count, settle_s=12.0):
    stored = limit_fleet.make_config({"o": (100.0, 100.0)}, UPSTREAMS)
    fleet = limit_fleet.Fleet(loop, stored)
    for index in range(count):
        fleet.start(f"vm{index}", limit_fleet.REGIONS[index % 3])
    await asyncio.sleep(settle_s)
    return fleet


def owned_counts(fleet):
    """Returns how many upstreams each VM owns; fails if one has two owners."""
    names = [n for vm in fleet.vms.values() for n in vm.ledger.owned()]
    assert len(names) == len(set(names))
    return {name: len(vm.ledger.owned()) for name, vm in fleet.vms.items()}


def run_scenario(scenario):
    async def main(loop):
        try:
            await scenario(loop)
        finally:
            await limit_fleet.cancel_other_tasks()

    virtual_loop.run(main)


def test_vms_started_together_share_units_and_upstreams():
    async def scenario(loop):
        fleet = await start_fleet(loop, 10)
        assert set(fleet.units().values()) == {504}
        assert sum(owned_counts(fleet).values()) == UPSTREAMS
        regions = collections.defaultdict(set)
        for name, count in owned_counts(fleet).items():
            regions[fleet.vms[name].me.region].add(count)
        assert all(max(c) - min(c) <= 1 for c in regions.values())
        vm = fleet.vms["vm0"].ledger
        holder = fleet.vms[vm.owner_of("up00")].ledger
        assert "up00" in holder.owned()
        assert vm.owner_of("unknown") is None

    run_scenario(scenario)


def test_ten_vms_in_contact_make_no_store_calls():
    async def scenario(loop):
        fleet = await start_fleet(loop, 10)
        before = fleet.store.calls
        await asyncio.sleep(30.0)
        assert fleet.store.calls == before

    run_scenario(scenario)


def test_dead_vm_is_removed_and_a_new_one_gets_its_share():
    async def scenario(loop):
        fleet = await start_fleet(loop, 10)
        fleet.kill("vm9")
        await asyncio.sleep(20.0)
        assert sum(fleet.units().values()) == 4536
        fleet.listed.discard("vm9")
        await asyncio.sleep(20.0)
        assert set(fleet.units().values()) == {560}
        assert sum(owned_counts(fleet).values()) == UPSTREAMS
        fleet.start("vm10", "a")
        await asyncio.sleep(15.0)
        assert set(fleet.units().values()) == {504}
        assert sum(owned_counts(fleet).values()) == UPSTREAMS

    run_scenario(scenario)


def test_restarted_vm_takes_over_its_entry_after_a_delay():
    async def scenario(loop):
        fleet = await start_fleet(loop, 10)
        fleet.kill("vm9")
        vm = fleet.start("vm9", "a", "2")
        await asyncio.sleep(4.0)
        assert vm.ledger.units() == 0
        await asyncio.sleep(8.0)
        assert vm.ledger.units() == 504
        assert ("ledger.taken_over", "vm9") in [n[:2] for n in vm.audit.notes]

    run_scenario(scenario)


def test_single_vm_restarts_without_peers():
    async def scenario(loop):
        fleet = await start_fleet(loop, 1)
        assert fleet.units() == {"vm0": 5040}
        fleet.kill("vm0")
        fleet.start("vm0", "a", "2")
        await asyncio.sleep(10.0)
        assert fleet.units() == {"vm0": 5040}

    run_scenario(scenario)


def test_store_outage_keeps_units_while_the_fleet_is_in_contact():
    async def scenario(loop):
        fleet = await start_fleet(loop, 10)
        fleet.store.down = True
        await asyncio.sleep(100.0)
        assert set(fleet.units().values()) == {504}
        new_vm = fleet.start("vm10", "a")
        await asyncio.sleep(20.0)
        assert new_vm.ledger.units() == 0
        fleet.store.down = False
        await asyncio.sleep(20.0)
        assert set(fleet.units().values()) == {458}

    run_scenario(scenario)


def test_partitioned_vm_loses_its_units_and_regains_them():
    async def scenario(loop):
        fleet = await start_fleet(loop, 10)
        fleet.store.down = True
        for name in fleet.vms:
            fleet.blocked_paths |= {(name, "vm0"), ("vm0", name)}
        await asyncio.sleep(4.5)
        assert fleet.vms["vm0"].ledger.units() == 0
        assert fleet.vms["vm1"].ledger.units() == 504
        fleet.blocked_paths.clear()
        await asyncio.sleep(4.0)
        assert fleet.vms["vm0"].ledger.units() == 504

    run_scenario(scenario)


@pytest.mark.parametrize("lost", [1, 5])
def test_shares_are_unaffected_by_lost_replies(lost):
    async def scenario(loop):
        fleet = await start_fleet(loop, 3, settle_s=0.0)
        for _ in range(4):
            fleet.store.lose_replies = lost
            await asyncio.sleep(1.0)
        await asyncio.sleep(10.0)
        assert set(fleet.units().values()) == {1680}
        assert sum(owned_counts(fleet).values()) == UPSTREAMS

    run_scenario(scenario)


def test_stopping_vm_releases_its_units():
    async def scenario(loop):
        fleet = await start_fleet(loop, 3)
        assert await fleet.vms["vm2"].ledger.leave()
        # Its last heartbeats carry the new epoch to the others.
        await asyncio.sleep(1.5)
        fleet.kill("vm2")
        fleet.listed.discard("vm2")
        await asyncio.sleep(5.0)
        assert set(fleet.units().values()) == {2520}
        entry = await fleet.store.get(ledger.LEDGER_KEY)
        assert ledger.decode(entry.value).unwrap().removal_epoch == 0

    run_scenario(scenario)


def test_malformed_ledger_changes_nothing():
    async def scenario(loop):
        fleet = await start_fleet(loop, 2)
        entry = await fleet.store.get(ledger.LEDGER_KEY)
        await fleet.store.put(ledger.LEDGER_KEY, b"{}", entry.revision)
        await fleet.store.put(ledger.LEDGER_KEY, b"x", entry.revision + 1)
        await asyncio.sleep(30.0)
        assert set(fleet.units().values()) == {2520}

    run_scenario(scenario)

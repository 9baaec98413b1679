"""Upstreams that leave after VMs were cut off from the store."""

import asyncio

import pytest
from soak import link as store_link
from support import builds
from support import child
from support import platform_fleet

from bramleyworks.policy import rendezvous

DRAIN_S = 2.5  # ``drain_ms``.
CUT_S = 4.0
# Within the time for which a VM delays removals.
LEAVES_AFTER_S = 1.3
# More than ``peers.MAX_FULL_MESH_VMS``.
MANY_VMS = 17


async def regained(fleet, vm, count=1):
    """Waits until a VM has regained the store some number of times."""

    async def check():
        found = [e for e in vm.events() if e["event"] == "store.regained"]
        return len(found) >= count

    await fleet.wait_until(check, f"the store at {vm.id}")


async def upstreams_used(fleet, vms):
    """Returns the upstreams that run requests of some VMs."""
    sent = set()
    for number in range(24):
        for vm in vms:
            _, _, _, request_id = await fleet.send_request(
                vm, f"/stock/{number}"
            )
            sent.add(request_id)
    return {r["upstream"] for r in await fleet.runs() if r["id"] in sent}


async def cut_one_after_the_other(fleet, first, second):
    """Removes u1 while one VM delays removals and another copies from it."""
    first.link.set_mode(store_link.HOLD_BOTH)
    await asyncio.sleep(CUT_S)
    first.link.set_mode(store_link.OPEN)
    await regained(fleet, first, 2)
    second.link.set_mode(store_link.HOLD_BOTH)
    await asyncio.sleep(LEAVES_AFTER_S)
    await fleet.write_store(remove=["servers/u1"])
    await asyncio.sleep(CUT_S - LEAVES_AFTER_S)
    second.link.set_mode(store_link.OPEN)
    await regained(fleet, second, 2)
    await asyncio.sleep(DRAIN_S)


async def test_vm_that_copied_during_a_cut_learns_of_a_delayed_removal(
    tmp_path,
):
    """Guards against use of an upstream whose removal a peer delayed."""
    async with platform_fleet.small_fleet(tmp_path, vms=0) as fleet:
        for _ in range(2):
            await fleet.add_vm_with_link()
        await cut_one_after_the_other(fleet, *fleet.vms)
        assert await upstreams_used(fleet, fleet.vms) == {"u2"}


async def test_followers_learn_of_a_removal_that_their_relay_delays(tmp_path):
    """Guards against a relay that passes on a position without a removal."""
    async with platform_fleet.small_fleet(tmp_path, vms=0) as fleet:
        for _ in range(MANY_VMS):
            await fleet.add_vm_with_link(wait=False)
        for vm in fleet.vms:
            await fleet.wait_until(
                lambda vm=vm: fleet.is_ready(vm), vm.id, timeout_s=30.0
            )
            await fleet.wait_for_upstreams(vm, 2)
        names = {vm.id: vm for vm in fleet.vms}
        relay = names[rendezvous.rank("one", names)[0]]
        relay.link.set_mode(store_link.HOLD_BOTH)
        await asyncio.sleep(CUT_S)
        relay.link.set_mode(store_link.OPEN)
        await regained(fleet, relay, 2)
        await asyncio.sleep(LEAVES_AFTER_S)
        await fleet.write_store(remove=["servers/u1"])
        await asyncio.sleep(DRAIN_S)
        assert await upstreams_used(fleet, fleet.vms) == {"u2"}


@pytest.mark.parametrize("is_old_first", [True, False])
async def test_removal_is_known_to_both_builds_side_by_side(
    tmp_path, is_old_first
):
    """Guards against a replica without a removal from the build before."""
    old = builds.extract_sources(builds.WITHOUT_EXACT_COPIES, tmp_path / "old")
    sources = [old, child.SRC] if is_old_first else [child.SRC, old]
    async with platform_fleet.small_fleet(tmp_path, vms=0) as fleet:
        for src in sources:
            await fleet.add_vm_with_link(src=src)
        await cut_one_after_the_other(fleet, *fleet.vms)
        assert await upstreams_used(fleet, fleet.vms) == {"u2"}

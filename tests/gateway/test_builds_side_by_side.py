"""VMs of this build and of the one before, while VMs are replaced in turn."""

import asyncio

import pytest
from soak import link as store_link
from support import builds
from support import child
from support import gated_upstream
from support import platform_fleet

REQUESTS = 20


async def add_both(fleet, tmp_path, is_old_first):
    """Adds a VM of each build; returns them in order."""
    old = builds.extract_sources(builds.WITHOUT_EXACT_COPIES, tmp_path / "old")
    sources = [old, child.SRC] if is_old_first else [child.SRC, old]
    return [await fleet.add_vm_with_link(src=src) for src in sources]


@pytest.mark.parametrize("is_old_cut", [True, False])
async def test_requests_are_passed_on_to_the_other_build(tmp_path, is_old_cut):
    """Guards against callers of a cut VM that the other build turns away."""
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        async with gated_upstream.gated_fleet(fleet, 0, 2) as gate:
            cut, other = await add_both(fleet, tmp_path, is_old_cut)
            for vm in (cut, other):
                gate.add_vm(vm)
                await fleet.wait_for_upstreams(vm, 2)
            gate.set_mode([cut], gated_upstream.RESET, fleet.upstreams)

            async def is_isolated():
                for vm in (cut, other):
                    await fleet.send_request(vm)
                return any(
                    e["event"] == "isolation.started" for e in cut.events()
                )

            await fleet.wait_until(is_isolated, "isolation")
            sent = [
                await fleet.send_request(cut, f"/order/{number}", "POST")
                for number in range(REQUESTS)
            ]
            runs = [request_id for request_id, _, _ in gate.runs]
    assert [status for status, *_ in sent] == [200] * REQUESTS
    assert all(runs.count(request_id) == 1 for *_, request_id in sent)


@pytest.mark.parametrize("is_old_cut", [True, False])
async def test_configuration_is_copied_from_the_other_build(
    tmp_path, is_old_cut
):
    """Guards against a withdrawn key that a VM without the store accepts."""
    async with platform_fleet.small_fleet(tmp_path, vms=0) as fleet:
        cut, _ = await add_both(fleet, tmp_path, is_old_cut)
        await asyncio.sleep(1.0)
        cut.link.set_mode(store_link.HOLD_BOTH)
        await fleet.write_store(
            {"op/config": platform_fleet.config(7, keys=["key-two"])}
        )

        async def in_force():
            return (await fleet.send_request(cut, key="key-two"))[0] == 200

        await fleet.wait_until(in_force, "version 7 by way of a peer", 4.0)
        assert (await fleet.send_request(cut))[0] == 401


@pytest.mark.parametrize("is_old_first", [True, False])
async def test_rate_holds_over_both_builds(tmp_path, is_old_first):
    """Guards against an organisation that gets its rate from each build."""
    rate, burst, window_s = 20, 10, 5.0
    async with platform_fleet.small_fleet(
        tmp_path, vms=0, rate=rate, burst=burst
    ) as fleet:
        vms = await add_both(fleet, tmp_path, is_old_first)
        await asyncio.sleep(1.5)
        statuses = []
        loop = asyncio.get_running_loop()
        end_s = loop.time() + window_s

        async def call(vm):
            while loop.time() < end_s:
                statuses.append((await fleet.send_request(vm))[0])
                await asyncio.sleep(0.02)

        await asyncio.gather(*(call(vm) for vm in vms for _ in range(2)))
    # ``quota_over`` and ``quota_slack`` of the settings.
    allowed = (rate * window_s + burst) * 1.1 + 20
    assert len(statuses) > allowed
    assert statuses.count(200) <= allowed

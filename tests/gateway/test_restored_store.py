"""A store that comes back from a copy some seconds old."""

import asyncio

from support import platform_fleet

CONFIG_APPLY_S = 2.5  # ``config_apply_ms``.


def added_route(number):
    return platform_fleet.rule(f"added{number}", "safe", f"/a{number}/", "desk")


async def serves(fleet, vm, number):
    status, *_ = await fleet.send_request(vm, f"/a{number}/1")
    return status == 200


async def test_change_after_a_restore_is_in_force_in_time(tmp_path):
    """Guards against VMs that ignore reused revisions."""
    async with platform_fleet.small_fleet(tmp_path, vms=2) as fleet:
        await fleet.store_faults(copy=True)
        for number in range(2, 8):
            rules = [added_route(1)]
            config = platform_fleet.config(number, rules=rules)
            await fleet.write_store({"op/config": config})
        await fleet.wait_until(
            lambda: serves(fleet, fleet.vms[0], 1), "the first route"
        )
        await fleet.store_faults({"*": "busy"})
        await asyncio.sleep(0.5)
        await fleet.store_faults(restore=True)
        await asyncio.sleep(0.5)
        await fleet.write_store({"op/config": config})
        rules = [added_route(1), added_route(2)]
        await fleet.write_store(
            {"op/config": platform_fleet.config(9, rules=rules)}
        )
        await asyncio.sleep(CONFIG_APPLY_S)
        for vm in fleet.vms:
            assert await serves(fleet, vm, 1)
            assert await serves(fleet, vm, 2)

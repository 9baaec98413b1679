"""Upstreams that say in responses that they want no more requests."""

import asyncio
import signal

from support import platform_fleet


async def _send(fleet, vm, count, method="GET"):
    sent = [
        await fleet.send_request(vm, f"/open/{n}", method) for n in range(count)
    ]
    return [status for status, *_ in sent]


async def _send_at_once(fleet, vm, count):
    """Sends more requests than one upstream has slots."""
    await asyncio.gather(*(_send(fleet, vm, 1) for _ in range(count)))


async def _run_counts(fleet):
    return {
        name: len((await fleet.upstream_status(name))["runs"])
        for name in ("u1", "u2")
    }


async def test_upstream_that_says_it_leaves_gets_no_further_request(tmp_path):
    """Guards against sending until the store tells of the leaving."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await fleet.wait_for_upstreams(vm, 2)
        await _send(fleet, vm, 20)
        await fleet.upstream_fault("u1", "leaving")
        before = await _run_counts(fleet)
        assert await _send(fleet, vm, 40) == [200] * 40
        # A heartbeat in the store that is older does not bring it back.
        await fleet.register("u1")
        await asyncio.sleep(0.3)
        assert await _send(fleet, vm, 20) == [200] * 20
        after = await _run_counts(fleet)
        assert after["u1"] - before["u1"] <= 1
        await fleet.upstream_fault("u1", "")
        await fleet.register("u1", born=2)
        await asyncio.sleep(0.3)
        await _send_at_once(fleet, vm, 8)
        assert (await _run_counts(fleet))["u1"] > after["u1"]


async def test_upstream_that_asks_for_a_pause_is_left_alone_for_it(tmp_path):
    """Guards against requests that an upstream has to turn away again."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await fleet.wait_for_upstreams(vm, 2)
        await fleet.upstream_fault("u1", "pause=2.5")
        await _send_at_once(fleet, vm, 10)
        await asyncio.sleep(0.5)
        asked = (await fleet.upstream_status("u1"))["paused"]
        assert asked > 0
        for _ in range(12):
            await _send_at_once(fleet, vm, 10)
        assert (await fleet.upstream_status("u1"))["paused"] == asked
        await fleet.upstream_fault("u1", "")
        before = await _run_counts(fleet)
        await asyncio.sleep(2.5)
        await _send_at_once(fleet, vm, 8)
        assert (await _run_counts(fleet))["u1"] > before["u1"]


async def _lapse_and_return(fleet, name):
    """Removes a registration and brings it back for the same start."""
    await fleet.write_store(remove=[f"servers/{name}"])
    await fleet.wait_for_upstreams(fleet.vms[0], 1)
    await fleet.register(name)
    await fleet.wait_for_upstreams(fleet.vms[0], 2)


async def test_leaving_upstream_whose_registration_returns_gets_no_request(
    tmp_path,
):
    """Guards against a lapse of the registration that ends the leaving."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await fleet.wait_for_upstreams(vm, 2)
        await fleet.upstream_fault("u1", "leaving")
        await _send_at_once(fleet, vm, 8)
        before = await _run_counts(fleet)
        assert before["u1"]
        await _lapse_and_return(fleet, "u1")
        await _send_at_once(fleet, vm, 8)
        assert (await _run_counts(fleet))["u1"] == before["u1"]


async def test_reload_of_settings_keeps_what_upstreams_said(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await fleet.wait_for_upstreams(vm, 2)
        await fleet.upstream_fault("u1", "leaving")
        await _send_at_once(fleet, vm, 8)
        before = await _run_counts(fleet)
        assert before["u1"]
        vm.process.signal(signal.SIGHUP)

        async def is_reloaded():
            return any(e["event"] == "reload" for e in vm.events())

        await fleet.wait_until(is_reloaded, "the reload")
        await _send_at_once(fleet, vm, 8)
        assert (await _run_counts(fleet))["u1"] == before["u1"]


async def test_paused_upstream_whose_registration_returns_is_left_alone(
    tmp_path,
):
    """Guards against a lapse of the registration that ends the pause."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await fleet.wait_for_upstreams(vm, 2)
        await fleet.upstream_fault("u1", "pause=60")
        await _send_at_once(fleet, vm, 8)
        asked = (await fleet.upstream_status("u1"))["paused"]
        assert asked
        await _lapse_and_return(fleet, "u1")
        await _send_at_once(fleet, vm, 8)
        assert (await fleet.upstream_status("u1"))["paused"] == asked


async def test_caller_is_told_when_all_upstreams_have_asked_for_a_pause(
    tmp_path,
):
    """Guards against callers that come back while nobody can serve them."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await fleet.wait_for_upstreams(vm, 2)
        for name in ("u1", "u2"):
            await fleet.upstream_fault(name, "pause=0.4")
        assert await _send(fleet, vm, 1, "POST") == [503]
        status, headers, _, _ = await fleet.send_request(vm, "/open/1")
        assert status == 503
        assert 0.1 < float(headers["Retry-After"]) <= 0.4
        for name in ("u1", "u2"):
            assert (await fleet.upstream_status(name))["paused"] == 1


async def test_malformed_wishes_change_nothing(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, upstreams=1) as fleet:
        vm = fleet.vms[0]
        await fleet.wait_for_upstreams(vm, 1)
        await fleet.upstream_fault("u1", "pause=Fri, 31 Dec 1999 23:59:59 GMT")
        assert await _send(fleet, vm, 1) == [503]
        await fleet.upstream_fault("u1", "")
        await asyncio.sleep(0.2)
        assert await _send(fleet, vm, 1) == [200]

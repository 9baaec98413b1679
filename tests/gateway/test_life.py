"""Configuration, registrations, moves, restarts and store outages."""

import asyncio
import pathlib
import re
import signal

from soak import link as store_link
from support import platform_fleet


async def test_older_configuration_never_replaces_a_newer_one(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, vms=2) as fleet:
        vm = fleet.vms[0]
        assert (await fleet.send_request(vm, key="key-two"))[0] == 401
        await fleet.write_store(
            {"op/config": platform_fleet.config(5, keys=["key-two"])}
        )

        async def in_force():
            return (await fleet.send_request(vm, key="key-two"))[0] == 200

        await fleet.wait_until(in_force, "version 5", 2.0)
        assert (await fleet.send_request(vm))[0] == 401
        await fleet.write_store({"op/config": platform_fleet.config(4)})
        await asyncio.sleep(1.5)
        assert (await fleet.send_request(vm))[0] == 401


async def test_invalid_configuration_leaves_the_valid_one_in_force(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": {"version": "r9"}})
        await fleet.write_store(
            {"op/config": {"version": "r9", "listeners": 3}}
        )
        await asyncio.sleep(1.0)
        assert (await fleet.send_request(fleet.vms[0]))[0] == 200


async def test_invalid_registrations_are_ignored(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, upstreams=1) as fleet:
        await fleet.write_store(
            {
                "servers/x1": "not a table",
                "servers/x2": {"service": "desk", "addr": 7},
                "servers/x3": {
                    "service": "desk",
                    "addr": "127.0.0.1:1",
                    "zone": "one-a",
                    "version": "v1",
                    "slots": "many",
                    "state": "ready",
                },
                "servers/x4": {
                    "service": "desk",
                    "addr": "127.0.0.1:1",
                    "zone": "one-a",
                    "version": "v1",
                    "slots": 4,
                    "state": "dreaming",
                },
            }
        )
        await fleet.wait_for_upstreams(fleet.vms[0], 1)
        for _ in range(5):
            assert (await fleet.send_request(fleet.vms[0]))[0] == 200


ODD_ENTRIES = {
    "port": {"addr": "127.0.0.1:70000"},
    "no-port": {"addr": "127.0.0.1:0"},
    "negative": {"addr": "127.0.0.1:-1"},
    "script": {"addr": "127.0.0.1:\u0668\u0660\u0668\u0660"},
    "cold": {"cold_left_ms": 1e308},
    "born": {"born": 2**70},
    "slots": {"slots": 10**30},
    "name\r\nX-Else: 1": {},
}


async def test_odd_registrations_harm_neither_requests_nor_restarts(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, vms=2) as fleet:
        valid = {
            "service": "desk",
            "addr": "127.0.0.1:9",
            "zone": "one-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "seq": 1,
        }
        nested = []
        for _ in range(900):
            nested = [nested]
        entries = {f"servers/{n}": valid | f for n, f in ODD_ENTRIES.items()}
        entries |= {
            "servers/deep": nested,
            "servers/zone": valid | {"zone": nested},
        }
        await fleet.write_store(entries)
        # A good entry is replaced by an odd one, and comes back.
        await fleet.write_store({"servers/u2": nested})
        await fleet.wait_for_upstreams(fleet.vms[0], 1)
        await fleet.register("u2")
        first, second = fleet.vms
        first.process.kill()
        await fleet.restart(first)
        for vm in fleet.vms:
            await fleet.wait_for_upstreams(vm, 2)
            statuses = [(await fleet.send_request(vm))[0] for _ in range(30)]
            assert statuses == [200] * 30
            assert not [e for e in vm.events() if e["event"] == "task.failed"]


async def test_draining_upstream_gets_no_new_request(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        await fleet.register("u1", state="draining")
        await asyncio.sleep(1.0)
        for number in range(10):
            response = await fleet.send_request(
                fleet.vms[0],
                headers={"X-Bramleyworks-Affinity-Key": str(number)},
            )
            assert response[0] == 200
        assert {r["upstream"] for r in await fleet.runs()} == {"u2"}


async def test_reused_address_gets_no_request_for_its_old_upstream(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        address = fleet.upstreams["u1"][0]
        await fleet.write_store(
            {
                "servers/u9": {
                    "service": "gate",
                    "addr": address,
                    "zone": "one-a",
                    "version": "v1",
                    "slots": 4,
                    "state": "ready",
                    "seq": 1,
                }
            }
        )
        await asyncio.sleep(1.0)
        for number in range(10):
            await fleet.send_request(
                fleet.vms[0],
                headers={"X-Bramleyworks-Affinity-Key": str(number)},
            )
        assert {r["upstream"] for r in await fleet.runs()} == {"u2"}


async def test_failure_domain_gets_no_request_while_evacuated(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1", domain="one-a")
        await fleet.add_upstream("u2", domain="two-a")
        vm = await fleet.add_vm()
        await fleet.write_store({"op/evacuate/one-a": {}})
        await asyncio.sleep(1.0)
        for _ in range(5):
            assert (await fleet.send_request(vm))[0] == 200
        assert {r["upstream"] for r in await fleet.runs()} == {"u2"}
        await fleet.write_store(remove=["op/evacuate/one-a"])

        async def back():
            await fleet.send_request(vm)
            return "u1" in {r["upstream"] for r in await fleet.runs()}

        await fleet.wait_until(back, "requests in the domain")


async def test_request_with_home_regions_stays_in_them(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        homed = platform_fleet.rule(
            "homed", "safe", "/homed/", "desk", home_regions=["two"]
        )
        await fleet.write_store(
            {"op/config": platform_fleet.config(1, rules=[homed])}
        )
        await fleet.add_upstream("u1", domain="one-a")
        await fleet.add_upstream("u2", domain="two-a")
        vm = await fleet.add_vm()
        for _ in range(5):
            assert (await fleet.send_request(vm, "/homed/1"))[0] == 200
        await fleet.write_store(remove=["servers/u2"])
        await asyncio.sleep(1.0)
        assert (await fleet.send_request(vm, "/homed/1"))[0] == 503
        assert {r["upstream"] for r in await fleet.runs()} == {"u2"}


async def test_callers_are_served_during_a_store_outage(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, vms=2) as fleet:
        await fleet.store_faults({"*": "silent"})
        await asyncio.sleep(3.0)
        for vm in fleet.vms:
            assert (await fleet.send_request(vm))[0] == 200
            assert (
                await fleet.http.get(vm.url("ready", "/v1/readyz"))
            ).status == 200


async def test_vm_restarted_in_a_store_outage_copies_from_a_peer(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, vms=2) as fleet:
        vm = fleet.vms[0]
        # The restarted VM finds its peer by the peer's registration.
        await asyncio.sleep(1.0)
        await fleet.store_faults({"*": "busy"})
        vm.process.kill()
        await fleet.restart(vm)
        assert (await fleet.send_request(vm))[0] == 200


async def test_vm_cut_off_from_the_store_copies_from_a_peer(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, vms=1) as fleet:
        vm = await fleet.add_vm_with_link()
        await asyncio.sleep(1.0)
        vm.link.set_mode(store_link.HOLD_BOTH)
        await fleet.write_store(
            {"op/config": platform_fleet.config(7, keys=["key-two"])}
        )

        async def in_force():
            return (await fleet.send_request(vm, key="key-two"))[0] == 200

        await fleet.wait_until(in_force, "version 7 by way of a peer", 4.0)


async def test_store_is_listed_again_after_its_history_is_compacted(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await fleet.store_faults({"*": "busy"})
        await fleet.write_store(
            {"op/config": platform_fleet.config(8, keys=["key-two"])}
        )
        await fleet.store_faults({}, compact=True)

        async def in_force():
            return (await fleet.send_request(vm, key="key-two"))[0] == 200

        await fleet.wait_until(in_force, "version 8", 4.0)


async def test_registration_expired_in_an_outage_has_a_grace_period(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, upstreams=1) as fleet:
        vm = fleet.vms[0]
        await fleet.store_faults({"*": "busy"})
        await asyncio.sleep(2.5)
        await fleet.write_store(remove=["servers/u1"])
        await fleet.store_faults({})
        for _ in range(10):
            assert (await fleet.send_request(vm))[0] == 200
            await asyncio.sleep(0.1)
        await fleet.register("u1")
        await asyncio.sleep(2.0)
        assert (await fleet.send_request(vm))[0] == 200
        await fleet.write_store(remove=["servers/u1"])

        async def is_removed():
            return (await fleet.send_request(vm))[0] == 503

        await fleet.wait_until(is_removed, "the removal")


async def test_graceful_stop_completes_all_requests(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1", slots=8, work_ms=600)
        vm = await fleet.add_vm()
        pending = [
            asyncio.create_task(fleet.send_request(vm)) for _ in range(6)
        ]
        await asyncio.sleep(0.2)
        vm.process.terminate()
        await asyncio.sleep(0.2)
        ready = await fleet.http.get(vm.url("ready", "/v1/readyz"))
        assert ready.status == 503
        assert [a[0] for a in await asyncio.gather(*pending)] == [200] * 6
        assert vm.process.wait(5.0) == 0
        rows = await fleet.store_rows()
    assert not [key for key in rows if key.startswith("bw/vm/")]


async def test_unresponsive_store_does_not_delay_a_stop(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, upstreams=1) as fleet:
        vm = fleet.vms[0]
        reader, writer = await asyncio.open_connection(
            vm.ip, vm.values["entry"]
        )
        writer.write(
            b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Bramleyworks-Attempt-Id: idle-1\r\nX-Api-Key: key-one\r\n\r\n"
        )
        await reader.readuntil(b"\r\n\r\n")
        await fleet.store_faults({"*": "silent"})
        vm.process.terminate()
        # Idle connections are closed 0.5 s after the signal.
        async with asyncio.timeout(1.0):
            await reader.read()
        writer.close()
        assert vm.process.wait(4.0) == 0


async def test_directory_returns_live_vms_of_the_region(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        one, two, other = [
            await fleet.add_vm(region) for region in ("one", "one", "two")
        ]

        async def named(region):
            url = one.url(
                "directory", f"/v1/resolve?name=x&region={region}&zone=z"
            )
            async with fleet.http.get(url) as response:
                body = await response.json()
                return {a.split(":")[0] for a in body["addrs"]}

        async def all_known():
            return await named("one") == {one.ip, two.ip}

        await fleet.wait_until(all_known, "both VMs of the region")

        async def other_known():
            return await named("two") == {other.ip}

        await fleet.wait_until(other_known, "the VM of the other region", 2.0)
        two.process.kill()

        async def one_left():
            return await named("one") == {one.ip}

        await fleet.wait_until(one_left, "the loss of a VM", 4.0)
        other.process.kill()

        async def elsewhere():
            return await named("two") == {one.ip}

        await fleet.wait_until(elsewhere, "a VM of another region", 4.0)


async def _send_load(fleet, seconds, is_finished=None):
    """Sends requests to all VMs in turn; returns the statuses."""
    statuses = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    number = 0
    while loop.time() < end_s:
        number += 1
        vm = fleet.vms[number % len(fleet.vms)]
        path = "/stock/1" if number % 3 else "/open/1"
        key = {"X-Bramleyworks-Affinity-Key": str(number % 40)}
        statuses.append((await fleet.send_request(vm, path, headers=key))[0])
        if is_finished and await is_finished():
            break
    return statuses


async def _start_move_fleet(fleet, vms=2):
    await fleet.write_store({"op/config": platform_fleet.config(1)})
    for name in ("u1", "u2"):
        await fleet.add_upstream(name, work_ms=5)
    for _ in range(vms):
        await fleet.add_vm()
    for name in ("n1", "n2"):
        await fleet.add_upstream(name, work_ms=5, version="v2")


async def _move_state(fleet):
    rows = await fleet.store_rows()
    return rows.get("status/rollout/desk", {}).get("state")


async def test_move_to_a_good_version_finishes_in_time(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await _start_move_fleet(fleet)
        await _send_load(fleet, 1.0)
        before = {r["upstream"] for r in await fleet.runs()}
        await fleet.write_store(
            {
                "op/rollout/desk": {
                    "service": "desk",
                    "to_version": "v2",
                    "over_s": 6,
                }
            }
        )

        async def done():
            return await _move_state(fleet) == "done"

        statuses = await _send_load(fleet, 6.0, done)
        assert await done()
        count = len(await fleet.runs())
        await _send_load(fleet, 0.5)
        after = {r["upstream"] for r in (await fleet.runs())[count:]}
        old = [r for r in await fleet.runs() if r["upstream"] in ("u1", "u2")]
        await _send_load(fleet, 0.5)
        old_later = [
            r for r in await fleet.runs() if r["upstream"] in ("u1", "u2")
        ]
    assert before == {"u1", "u2"}
    assert set(statuses) == {200}
    assert after
    assert len(old) == len(old_later)


async def test_move_to_a_bad_version_is_reverted_after_few_requests(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await _start_move_fleet(fleet)
        for name in ("n1", "n2"):
            await fleet.upstream_fault(name, "error")
        await fleet.write_store(
            {
                "op/rollout/desk": {
                    "service": "desk",
                    "to_version": "v2",
                    "over_s": 10,
                }
            }
        )

        async def reverted():
            return await _move_state(fleet) == "reverted"

        await _send_load(fleet, 8.0, reverted)
        assert await reverted()
        runs = await fleet.runs()
        bad = [r for r in runs if r["upstream"] in ("n1", "n2")]
        await _send_load(fleet, 1.0)
        later = await fleet.runs()
        bad_later = [r for r in later if r["upstream"] in ("n1", "n2")]
    assert len(bad) <= 0.1 * len(runs) + 50
    assert len(bad_later) == len(bad)


async def test_move_finishes_although_an_upstream_of_it_is_lost(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await _start_move_fleet(fleet, vms=5)
        await _send_load(fleet, 1.0)
        await fleet.write_store(
            {
                "op/rollout/desk": {
                    "service": "desk",
                    "to_version": "v2",
                    "over_s": 10,
                }
            }
        )
        await _send_load(fleet, 1.0)
        fleet.upstreams["n1"][1].pause()
        loads = [_send_load(fleet, 7.5) for _ in range(6)]
        await asyncio.gather(*loads)

        async def done():
            return await _move_state(fleet) == "done"

        await fleet.wait_until(done, "the end of the move", 3.0)
        fleet.upstreams["n1"][1].resume()


async def test_version_without_a_move_order_gets_no_request(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await _start_move_fleet(fleet)
        await _send_load(fleet, 1.0)
        used = {r["upstream"] for r in await fleet.runs()}
    assert used <= {"u1", "u2"}


async def test_frozen_peer_does_not_delay_the_others(tmp_path):
    """With one VM frozen, callers of the others get the same throughput."""
    async with platform_fleet.small_fleet(tmp_path, vms=3) as fleet:
        frozen = fleet.vms.pop()
        before = await _send_load(fleet, 2.0)
        frozen.process.pause()
        try:
            during = await _send_load(fleet, 4.0)
        finally:
            frozen.process.resume()
    assert set(before) == set(during) == {200}
    assert len(during) / 4 >= 0.9 * len(before) / 2


async def test_metrics_and_reload(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await fleet.send_request(vm)
        async with fleet.http.get(vm.url("metrics", "/metrics")) as response:
            text = await response.text()
        assert (
            'bramleyworks_answers_total{service="stock",status="200"}' in text
        )
        vm.config_path.write_text(
            vm.config_path.read_text().replace("grace_s = 4", "grace_s = x")
        )
        vm.process.signal(signal.SIGHUP)

        async def refused():
            return any(e["event"] == "reload.refused" for e in vm.events())

        await fleet.wait_until(refused, "the refusal of wrong settings")
        vm.config_path.write_text(
            vm.config_path.read_text().replace("grace_s = x", "grace_s = 3")
        )
        vm.process.signal(signal.SIGHUP)

        async def reloaded():
            return any(e["event"] == "reload" for e in vm.events())

        await fleet.wait_until(reloaded, "the reload")
        assert (await fleet.send_request(vm))[0] == 200


def holds_signal(vm):
    """Returns whether the process of a VM has blocked SIGHUP."""
    status = pathlib.Path(f"/proc/{vm.process.pid}/status").read_text()
    blocked = int(re.search(r"SigBlk:\s+(\w+)", status).group(1), 16)
    return blocked >> (signal.SIGHUP - 1) & 1


async def test_reload_during_the_start_does_not_end_the_process(tmp_path):
    """Guards against a signal that comes before its handler."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = await fleet.add_vm(wait=False)

        async def is_starting():
            return holds_signal(vm)

        async def has_reloaded():
            return any(e["event"] == "reload" for e in vm.events())

        await fleet.wait_until(is_starting, "the start of the process")
        vm.process.signal(signal.SIGHUP)
        await fleet.wait_until(has_reloaded, "the reload")
        await fleet.wait_until(lambda: fleet.is_ready(vm), vm.id)
        assert vm.process.exit_code() is None

"""The log and ``bramleyworks explain`` show why a request failed."""

import asyncio

from click import testing
from support import platform_fleet

from bramleyworks.cli import main


def explain(folder, request_id):
    """Returns what ``bramleyworks explain`` prints."""
    outcome = testing.CliRunner().invoke(
        main.cli, ["explain", request_id, str(folder)]
    )
    assert outcome.exit_code == 0, outcome.output
    print(outcome.output)
    return outcome.output


def single(items):
    (line,) = items
    return line


async def test_rejection_for_lack_of_slots(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1", slots=1, work_ms=300)
        vm = await fleet.add_vm()
        responses = await asyncio.gather(
            *(fleet.send_request(vm) for _ in range(12))
        )
        refused = [a for a in responses if a[0] == 503]
        await asyncio.sleep(0.3)
        line = single(vm.requests(refused[0][3]))
        print(line)
        text = explain(tmp_path, refused[0][3])
    assert "reason: no upstream of desk has room" in text
    assert "sent to no upstream" in text
    assert line["status"] == 503
    assert line["tried"] == []
    assert "has room" in line["reason"] and "s to wait" in line["reason"]
    assert line["config"] == 1
    assert line["organisation"] == "org-one"


async def test_unsafe_request_with_unknown_outcome(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, upstreams=1) as fleet:
        vm = fleet.vms[0]
        await fleet.upstream_fault("u1", "lost")
        status, _, _, request_id = await fleet.send_request(
            vm, "/order/1", "POST", body=b"one"
        )
        await asyncio.sleep(0.3)
        line = single(vm.requests(request_id))
        print(line)
        text = explain(tmp_path, request_id)
    assert "attempt 1: u1 failed (upstream.read" in text
    assert status == line["status"] == 502
    tried = single(line["tried"])
    assert tried["upstream"] == "u1"
    assert tried["outcome"] == "failed"
    assert "upstream.read" in tried["reason"]


async def test_revoked_key(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        assert (await fleet.send_request(vm))[0] == 200
        await fleet.write_store(
            {"op/config": platform_fleet.config(6, keys=["key-two"])}
        )
        await asyncio.sleep(1.0)
        status, _, _, request_id = await fleet.send_request(vm)
        await asyncio.sleep(0.3)
        line = single(vm.requests(request_id))
        in_force = [e for e in vm.events() if e["event"] == "config.in_force"]
        print(line)
        print(in_force[-1])
        text = explain(tmp_path, request_id)
    assert "reason: the key is unknown" in text
    assert "configuration 6, in force" in text
    assert status == line["status"] == 401
    assert line["reason"] == "the key is unknown"
    assert line["config"] == in_force[-1]["version"] == 6
    assert in_force[-1]["time"] <= line["time"]


async def test_inputs_of_a_refusal_by_rate(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        config = platform_fleet.config(1, rate=1, burst=1)
        await fleet.write_store({"op/config": config})
        await fleet.add_upstream("u1")
        vm = await fleet.add_vm()
        await asyncio.sleep(1.0)
        responses = [await fleet.send_request(vm) for _ in range(40)]
        refused = next(a for a in responses if a[0] == 429)
        await asyncio.sleep(0.3)
        line = single(vm.requests(refused[3]))
        text = explain(tmp_path, refused[3])
    assert "limit: 1.0 requests/s" in text
    assert line["limit"]["rate_per_s"] == 1.0
    assert line["limit"]["vms"] == 1
    assert line["limit"]["age_s"] is not None


async def test_upstream_of_a_request_past_its_deadline(tmp_path):
    async with platform_fleet.small_fleet(tmp_path, upstreams=1) as fleet:
        vm = fleet.vms[0]
        await fleet.upstream_fault("u1", "silent")
        status, _, _, request_id = await fleet.send_request(
            vm, "/order/1", "POST", body=b"one", deadline_ms=400
        )
        await asyncio.sleep(0.3)
        line = single(vm.requests(request_id))
        text = explain(tmp_path, request_id)
    assert status == line["status"] == 504
    assert single(line["tried"])["upstream"] == "u1"
    assert single(line["tried"])["ms"] >= 300
    assert "attempt 1: u1 open (no complete answer)" in text


async def test_log_rate_is_bounded_and_dropped_lines_are_counted(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        head = b"GET /nowhere/ HTTP/1.1\r\nHost: shop.example\r\n"
        data = (head + b"\r\n") * 15 + head + b"Connection: close\r\n\r\n"
        for _ in range(60):
            response = await fleet.send_raw(vm, data)
            assert response.count(b"HTTP/1.1 404") == 16
        await asyncio.sleep(1.2)
        await fleet.send_request(vm)
        await asyncio.sleep(0.3)
        events = vm.events()
    written = [e for e in events if e["event"] == "request"]
    dropped = sum(
        e["lines"].get("request", 0)
        for e in events
        if e["event"] == "log.dropped"
    )
    assert len(written) + dropped >= 60 * 16
    by_second = {}
    for event in written:
        second = int(event["time"])
        by_second[second] = by_second.get(second, 0) + 1
    # The rate is limited by the second of the monotonic clock, which overlaps
    # two seconds of wall-clock time.
    assert max(by_second.values()) <= 2 * 200

"""End-to-end tests of the request path with real gateway processes."""

import asyncio
import contextlib

import pytest
from support import platform_fleet


async def test_response_is_forwarded_and_api_key_is_not(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        status, headers, body, request_id = await fleet.send_request(
            fleet.vms[0]
        )
        runs = await fleet.runs()
    assert status == 200
    assert headers["X-Bramleyworks-Response-Seal"]
    assert body.endswith(b"/stock/1 ")
    (run,) = runs
    sent = run["headers"]
    assert sent["x-bramleyworks-attempt-id"] == request_id
    assert sent["x-bramleyworks-tenant"] == "org-one"
    assert sent["x-bramleyworks-target-instance"] == run["upstream"]
    assert 1 <= int(sent["x-bramleyworks-deadline-ms"]) <= 1500
    assert "x-api-key" not in sent


async def test_caller_can_not_set_the_organisation_header(tmp_path):
    """Guards against callers who impersonate another organisation."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        forged = {"X-Bramleyworks-Tenant": "org-two"}
        await fleet.send_request(fleet.vms[0], headers=forged)
        await fleet.send_request(
            fleet.vms[0], "/open/1", key=None, headers=forged
        )
        runs = await fleet.runs()
    by_target = {r["target"]: r["headers"] for r in runs}
    assert by_target["/stock/1"]["x-bramleyworks-tenant"] == "org-one"
    assert "x-bramleyworks-tenant" not in by_target["/open/1"]


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/stock/1", None, 401),
        ("/stock/1", "unknown", 401),
        ("/nowhere/1", platform_fleet.KEY, 404),
    ],
)
async def test_refused_requests_reach_no_upstream(tmp_path, path, key, status):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        response = await fleet.send_request(fleet.vms[0], path, key=key)
        assert response[0] == status
        assert await fleet.runs() == []


INVALID_REQUESTS = {
    "no host": b"GET /stock/1 HTTP/1.1\r\nX-Api-Key: key-one\r\n\r\n",
    "two hosts": b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Host: shop.example\r\nX-Api-Key: key-one\r\n\r\n",
    "two keys": b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\nX-Api-Key: key-one\r\n\r\n",
    "two lengths": b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "length and chunks": b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\nContent-Length: 5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "unknown coding": b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "folded header": b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\nX-A: b\r\n Host: other\r\n\r\n",
    "space before colon": b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\nContent-Length : 5\r\n\r\nhello",
    "long head": b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\nX-Long: " + b"a" * 5000 + b"\r\n\r\n",
    "no version": b"GET /stock/1\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\n\r\n",
    "unknown version": b"GET /stock/1 HTTP/1.7\r\nHost: shop.example\r\n"
    b"X-Api-Key: key-one\r\n\r\n",
    "absolute target": b"GET http://shop.example/stock/1 HTTP/1.1\r\n"
    b"Host: shop.example\r\nX-Api-Key: key-one\r\n\r\n",
}


async def test_invalid_framing_is_refused_before_any_upstream(tmp_path):
    """Guards against request smuggling by ambiguous framing."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        for name, data in INVALID_REQUESTS.items():
            response = await fleet.send_raw(fleet.vms[0], data)
            assert response.startswith(b"HTTP/1.1 4"), (name, response)
        assert await fleet.runs() == []


async def test_smuggled_request_does_not_run(tmp_path):
    """Guards against a body that is parsed as a second request."""
    inner = (
        b"GET /open/inner HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Bramleyworks-Attempt-Id: inner\r\n\r\n"
    )
    outer = (
        b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Api-Key: key-one\r\nX-Bramleyworks-Attempt-Id: outer\r\n"
        b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(inner)
    )
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        response = await fleet.send_raw(fleet.vms[0], outer + inner)
        runs = await fleet.runs()
    assert response.count(b"HTTP/1.1 200") == 1
    assert [r["id"] for r in runs] == ["outer"]
    assert runs[0]["body"].encode() == inner


async def test_pipelined_requests_run_concurrently_with_ordered_responses(
    tmp_path,
):
    """Guards against pipelined requests that run one after the other."""
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1", work_ms=300)
        vm = await fleet.add_vm()
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        data = b"".join(
            b"GET /stock/%d HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Api-Key: key-one\r\nX-Bramleyworks-Attempt-Id: p%d\r\n%b\r\n"
            % (n, n, b"Connection: close\r\n" if n == 3 else b"")
            for n in range(4)
        )
        response = await fleet.send_raw(vm, data, 3.0)
        elapsed_s = loop.time() - start_s
    positions = [response.index(b"/stock/%d " % n) for n in range(4)]
    assert positions == sorted(positions)
    assert response.count(b"HTTP/1.1 200") == 4
    assert elapsed_s < 0.9


async def test_chunked_body_is_forwarded_completely(tmp_path):
    async def chunks():
        for _ in range(50):
            yield b"x" * 10_000

    async with platform_fleet.small_fleet(tmp_path) as fleet:
        status, *_ = await fleet.send_request(
            fleet.vms[0], "/order/1", "POST", body=chunks()
        )
        (run,) = await fleet.runs()
    assert status == 200
    assert run["body"] == "x" * 500_000


async def test_body_over_the_limit_is_refused(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        head = (
            b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Api-Key: key-one\r\nContent-Length: 2000000\r\n\r\n"
        )
        response = await fleet.send_raw(fleet.vms[0], head)
        assert response.startswith(b"HTTP/1.1 413")
        assert await fleet.runs() == []


async def test_slow_head_times_out(tmp_path):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        response = await fleet.send_raw(fleet.vms[0], b"GET /stock/1 HT", 4.0)
    assert response.startswith(b"HTTP/1.1 408")


async def test_disconnect_of_the_caller_cancels_the_request(tmp_path):
    """Guards against upstreams that work on abandoned requests."""
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1", work_ms=1000)
        vm = await fleet.add_vm()
        reader, writer = await asyncio.open_connection(
            vm.ip, vm.values["entry"]
        )
        writer.write(
            b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Api-Key: key-one\r\n\r\n"
        )
        await asyncio.sleep(0.2)
        writer.transport.abort()

        async def cancelled():
            return (await fleet.upstream_status("u1"))["cancelled"] == 1

        await fleet.wait_until(cancelled, "the cancellation", 0.5)


async def test_requests_that_would_queue_too_long_are_refused(tmp_path):
    """Requests beyond the slots are refused at once, not at the deadline.

    Guards against queues at upstreams, which delay every request behind them.
    """
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1", slots=2, work_ms=250)
        vm = await fleet.add_vm()
        for _ in range(3):
            await fleet.send_request(vm)
        loop = asyncio.get_running_loop()

        async def send_timed_request():
            start_s = loop.time()
            status, headers, *_ = await fleet.send_request(vm)
            return status, loop.time() - start_s, headers

        responses = await asyncio.gather(
            *(send_timed_request() for _ in range(20))
        )
        runs = await fleet.runs()
    served = [a for a in responses if a[0] == 200]
    refused = [a for a in responses if a[0] == 503]
    assert len(served) >= 2
    assert len(served) + len(refused) == 20
    assert len(runs) == 3 + len(served)
    assert max(elapsed_s for _, elapsed_s, _ in refused) < 0.15
    assert all(float(h["Retry-After"]) > 0 for _, _, h in refused)


RETRYABLE_FAULTS = ["shed", "reset", "lost", "truncated", "unsigned", "error"]


@pytest.mark.parametrize("fault", RETRYABLE_FAULTS)
async def test_idempotent_request_is_retried_at_another_upstream(
    tmp_path, fault
):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        await fleet.upstream_fault("u1", fault)
        for number in range(12):
            status, headers, body, request_id = await fleet.send_request(
                fleet.vms[0],
                headers={"X-Bramleyworks-Affinity-Key": str(number)},
            )
            assert status == 200, fleet.vms[0].requests(request_id)
            assert body.startswith(b"u2 ")


@pytest.mark.parametrize("fault", ["reset", "lost", "truncated", "unsigned"])
async def test_non_idempotent_request_with_unknown_outcome_is_not_retried(
    tmp_path, fault
):
    """Guards against an order that runs twice."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        for name in fleet.upstreams:
            await fleet.upstream_fault(name, fault)
        status, _, _, request_id = await fleet.send_request(
            fleet.vms[0], "/order/1", "POST", body=b"one"
        )
        runs = [r for r in await fleet.runs() if r["id"] == request_id]
    assert status == 502
    assert len(runs) <= 1


async def test_non_idempotent_request_that_was_shed_is_retried(tmp_path):
    """A request that the upstream did not run is safe to retry."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        await fleet.upstream_fault("u1", "shed")
        for number in range(8):
            status, *_ = await fleet.send_request(
                fleet.vms[0],
                "/order/1",
                "POST",
                body=b"one",
                headers={"X-Bramleyworks-Affinity-Key": str(number)},
            )
            assert status == 200
        ids = [r["id"] for r in await fleet.runs()]
    assert len(ids) == len(set(ids)) == 8


@pytest.mark.parametrize("fault", ["extra", "extra_late"])
async def test_unsolicited_response_is_dropped(tmp_path, fault):
    """Guards against a caller who receives the response of another one."""
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1")
        vm = await fleet.add_vm()
        await fleet.upstream_fault("u1", fault)
        for number in range(20):
            status, _, body, _ = await fleet.send_request(
                vm, f"/stock/{number}"
            )
            assert status == 200
            assert body == f"u1 /stock/{number} ".encode()
            await asyncio.sleep(0.01 * (number % 8))


async def test_response_without_length_is_forwarded_completely(tmp_path):
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1")
        vm = await fleet.add_vm()
        await fleet.upstream_fault("u1", "unframed")
        status, _, body, _ = await fleet.send_request(vm)
    assert (status, body) == (200, b"u1 /stock/1 ")


async def test_truncated_response_to_a_non_idempotent_request_is_an_error(
    tmp_path,
):
    """Guards against a truncated response that looks complete."""
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        await fleet.add_upstream("u1")
        vm = await fleet.add_vm()
        await fleet.upstream_fault("u1", "truncated")
        status, *_ = await fleet.send_request(
            vm, "/order/1", "POST", body=b"one"
        )
    assert status == 502


async def test_killed_upstream_does_not_fail_idempotent_requests(tmp_path):
    """Requests fail over from an upstream whose process was killed."""
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        for number in range(8):
            await fleet.send_request(
                fleet.vms[0],
                headers={"X-Bramleyworks-Affinity-Key": str(number)},
            )
        fleet.upstreams["u1"][1].kill()
        statuses = []
        for number in range(8):
            response = await fleet.send_request(
                fleet.vms[0],
                headers={"X-Bramleyworks-Affinity-Key": str(number)},
            )
            statuses.append(response[0])
        del fleet.upstreams["u1"]
    assert statuses == [200] * 8


async def test_rate_limit_is_enforced_over_all_vms(tmp_path):
    """Callers at three VMs together get the rate, burst and tolerance."""
    async with platform_fleet.small_fleet(
        tmp_path, vms=3, rate=20, burst=20
    ) as fleet:
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 5.0
        statuses = []

        async def send_continuously(vm):
            while loop.time() < end_s:
                statuses.append((await fleet.send_request(vm))[0])
                await asyncio.sleep(0.02)

        await asyncio.gather(*(send_continuously(vm) for vm in fleet.vms))
        runs = await fleet.runs()
    allowed = (20 * 5 + 20) * 1.1 + 20
    assert statuses.count(429) > 100
    assert 20 * 5 * 0.8 <= len(runs) <= allowed


async def test_organisation_below_its_rate_is_not_refused(tmp_path):
    async with platform_fleet.small_fleet(
        tmp_path, vms=3, rate=60, burst=60
    ) as fleet:
        await asyncio.sleep(1.0)
        statuses = []
        for number in range(120):
            vm = fleet.vms[number % 3]
            statuses.append((await fleet.send_request(vm))[0])
            await asyncio.sleep(0.02)
    assert statuses.count(200) == 120


async def test_idle_connection_is_closed(tmp_path):
    limits = {
        "max_header_bytes": 4096,
        "max_body_bytes": 1000,
        "header_timeout_ms": 1000,
        "idle_timeout_ms": 600,
    }
    async with platform_fleet.small_fleet(tmp_path, limits=limits) as fleet:
        vm = fleet.vms[0]
        reader, writer = await asyncio.open_connection(
            vm.ip, vm.values["entry"]
        )
        with contextlib.closing(writer):
            assert await asyncio.wait_for(reader.read(1), 2.0) == b""

"""Guards against faults that the stand-in upstream does not really inject."""

import asyncio
import hashlib

import aiohttp
import pytest
import pytest_asyncio
from support import fleet

from bramleyworks_standins import pattern
from bramleyworks_standins import upstream_app

# Upstreams are started in parallel, since a start takes longer than most tests.
BATCH = 6

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def flt(tmp_path_factory):
    async with fleet.Fleet(tmp_path_factory.mktemp("upstream")) as started:
        yield started


@pytest_asyncio.fixture(loop_scope="module")
async def up(flt, idle_upstreams):
    """A new upstream named up with two slots and a queue of length one."""
    if not idle_upstreams:
        names = [f"up{len(flt.children) + i}" for i in range(BATCH)]
        await asyncio.gather(
            *(flt.start_upstream(n, slots=2, queue=1, mean_ms=1) for n in names)
        )
        idle_upstreams.extend(names)
    name = idle_upstreams.pop()
    flt.urls["up"] = flt.urls[name]
    yield flt.urls[name]
    flt.children[name].kill()


@pytest.fixture(scope="module")
def idle_upstreams():
    return []


async def _call(flt, url, method="GET", **kwargs):
    async with flt.http.request(method, url, **kwargs) as resp:
        return resp.status, await resp.read()


async def _wait_busy(flt, up, busy):
    async def reached():
        return (await flt.get(f"{up}/-/health"))["busy"] == busy

    await flt.wait_for(reached, f"{busy} busy slots", 5.0)


async def test_response_echoes_the_request_and_runs_are_counted(flt, up):
    body = b"o" * 300_000
    headers = {"X-Request-Id": "r1", "X-Organisation": "sudo-mart"}
    async with flt.http.post(
        f"{up}/orders", data=body, headers={**headers, "Idempotency-Key": "t"}
    ) as resp:
        echoed = await resp.json()
        assert resp.headers["X-Request-Id"] == "r1"
    assert echoed["sha256"] == hashlib.sha256(body).hexdigest()
    assert echoed["request_id"] == "r1"
    await _call(flt, f"{up}/stock", headers=headers)
    runs = await flt.runs("up")
    assert runs["by_request"] == {"r1": 2}
    assert runs["by_ticket"] == {"t": 1}
    assert runs["by_organisation"] == {"sudo-mart": 2}
    assert not runs["key_header_seen"]


@pytest.mark.parametrize("name", ["Authorization", "X-Api-Key"])
async def test_api_key_header_is_recorded_even_if_the_request_is_shed(
    flt, up, name
):
    await flt.post(f"{up}/-/drain", {"refuse": True})
    status, _ = await _call(flt, f"{up}/a", headers={name: "Bearer k"})
    assert status == 503
    assert (await flt.runs("up"))["key_header_seen"]


async def test_full_upstream_queues_one_and_sheds_the_rest_as_not_run(flt, up):
    await flt.faults("up", slow_factor=100_000)
    calls = {asyncio.create_task(_get_not_run(flt, up)) for _ in range(6)}
    shed = set()
    while len(shed) < 3:
        done, calls = await asyncio.wait(
            calls, return_when=asyncio.FIRST_COMPLETED
        )
        shed |= done
    assert [task.result() for task in shed] == [(503, "1")] * 3
    runs = await flt.runs("up")
    assert (runs["runs"], runs["shed"]) == (2, 3)
    assert (runs["max_busy"], runs["max_waiting"]) == (2, 1)
    await _cancel_all(calls)


async def _get_not_run(flt, url, **kwargs):
    async with flt.http.get(url, **kwargs) as resp:
        return resp.status, resp.headers.get("X-Not-Run")


async def _cancel_all(calls):
    for task in calls:
        task.cancel()
    await asyncio.gather(*calls, return_exceptions=True)


async def test_disconnect_of_the_caller_frees_its_slot(flt, up):
    await flt.faults("up", slow_factor=100_000)
    held = asyncio.create_task(_call(flt, f"{up}/held"))
    await _wait_busy(flt, up, 1)
    held.cancel()
    await _wait_busy(flt, up, 0)
    assert (await flt.runs("up"))["cancelled"] == 1


async def test_incomplete_request_body_does_not_count_as_a_run(flt, up):
    host, port = up.removeprefix("http://").split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf"
    )
    await writer.drain()
    writer.close()

    async def recorded():
        return (await flt.runs("up"))["incomplete"] == 1

    await flt.wait_for(recorded, "the incomplete request", 5.0)
    assert (await flt.runs("up"))["runs"] == 0


async def test_deadline_ends_a_run_and_a_wait_for_a_slot(flt, up):
    await flt.faults("up", slow_factor=100_000)
    deadline = {"X-Deadline-Ms": "1000"}
    status, _ = await _call(flt, f"{up}/run", headers=deadline)
    assert status == 504
    held = [asyncio.create_task(_call(flt, f"{up}/{i}")) for i in range(2)]
    await _wait_busy(flt, up, 2)
    assert await _get_not_run(flt, up, headers=deadline) == (503, "1")
    await _cancel_all(held)


async def test_document_is_complete_and_matches_the_pattern(flt, up):
    size = 3 * pattern.CHUNK_BYTES + 17
    status, body = await _call(flt, f"{up}/documents/plan?bytes={size}")
    assert status == 200
    assert body == b"".join(pattern.chunks("plan", size))
    assert len(body) == size


@pytest.mark.parametrize("size", [1, 200_000])
async def test_truncated_response_is_detected_by_the_client(flt, up, size):
    await flt.faults("up", short_share=1.0)
    with pytest.raises(aiohttp.ClientPayloadError):
        await _call(flt, f"{up}/documents/plan?bytes={size}")


async def test_reset_happens_after_the_request_was_read_and_run(flt, up):
    await flt.faults("up", reset_share=1.0, path_prefix="/orders")
    with pytest.raises(aiohttp.ClientOSError):
        await _call(flt, f"{up}/orders", "POST", data=b"o" * 100_000)
    assert (await flt.runs("up"))["runs"] == 1
    assert (await _call(flt, f"{up}/stock"))[0] == 200


@pytest.mark.parametrize("echo_id", [True, False])
async def test_extra_response_reaches_the_next_request_of_a_pool(
    flt, up, echo_id
):
    """A client without a check accepts the stale response as its own."""
    await flt.faults("up", extra_share=1.0, extra_after_ms=50, echo_id=echo_id)

    async def stale_id():
        own = {"X-Request-Id": "second"}
        async with flt.http.get(f"{up}/second", headers=own) as resp:
            if b"stale" in await resp.read():
                return resp.headers.get("X-Request-Id", "none")

    first = await _call(flt, f"{up}/first", headers={"X-Request-Id": "first"})
    assert b'"path":"/first"' in first[1]
    found = await flt.wait_for(stale_id, "the stale response", 5.0)
    assert (found != "none") == echo_id


async def test_slot_is_released_before_a_late_response(flt, up):
    await flt.faults("up", late_share=1.0, late_ms=3000)
    late = asyncio.create_task(_call(flt, f"{up}/late"))

    async def ran():
        return (await flt.runs("up"))["runs"] == 1

    await flt.wait_for(ran, "the run", 2.0)
    await _wait_busy(flt, up, 0)
    assert not late.done()
    late.cancel()


async def test_failures_only_above_the_busy_limit_and_on_one_route(flt, up):
    await flt.faults(
        "up", fail_share=1.0, over_busy=1, path_prefix="/bad", slow_factor=1
    )
    assert (await _call(flt, f"{up}/bad"))[0] == 200
    await flt.faults("up", path_prefix="/slow", over_busy=0, slow_factor=1e5)
    held = asyncio.create_task(_call(flt, f"{up}/slow"))
    await _wait_busy(flt, up, 1)
    await flt.faults("up", path_prefix="/bad", over_busy=1, slow_factor=1)
    assert (await _call(flt, f"{up}/bad"))[0] == 500
    assert (await _call(flt, f"{up}/good"))[0] == 200
    held.cancel()


async def test_fault_starts_after_its_delay(flt, up):
    await flt.faults("up", fail_share=1.0, after_s=1.5)
    assert (await _call(flt, f"{up}/a"))[0] == 200

    async def fails():
        return (await _call(flt, f"{up}/a"))[0] == 500

    await flt.wait_for(fails, "the fault", 5.0)


@pytest.mark.parametrize(
    "switches, status, busy",
    [
        ({"health": "lag", "health_lag_s": 30}, "ok", 0),
        ({"health": "freeze"}, "ok", 0),
        ({"health": "lie", "health_lie": {"busy": 9}}, "draining", 9),
    ],
)
async def test_health_endpoint_reports_a_wrong_state(
    flt, up, switches, status, busy
):
    await flt.faults("up", slow_factor=100_000, **switches)
    held = asyncio.create_task(_call(flt, f"{up}/held"))

    async def ran():
        return (await flt.runs("up"))["runs"] == 1

    await flt.wait_for(ran, "the run", 5.0)
    await flt.post(f"{up}/-/drain", {})
    shown = await flt.get(f"{up}/-/health")
    assert (shown["status"], shown["busy"]) == (status, busy)
    await flt.faults("up", health="true")
    shown = await flt.get(f"{up}/-/health")
    assert shown == {
        "status": "draining",
        "busy": 1,
        "slots": 2,
        "version": "v1",
    }
    held.cancel()


async def test_lagging_health_catches_up(flt, up):
    await flt.faults("up", health="lag", health_lag_s=0.3)
    await flt.post(f"{up}/-/drain", {})

    async def drained():
        return (await flt.get(f"{up}/-/health"))["status"] == "draining"

    await flt.wait_for(drained, "the lagging health response", 5.0)


async def test_run_after_the_drain_grace_period_is_counted(flt, up):
    await flt.post(f"{up}/-/drain", {})
    assert (await _call(flt, f"{up}/at-once"))[0] == 200
    assert (await flt.runs("up"))["runs_after_drain"] == 0
    await asyncio.sleep(upstream_app.DRAIN_GRACE_S + 0.1)
    assert (await _call(flt, f"{up}/late"))[0] == 200
    assert (await flt.runs("up"))["runs_after_drain"] == 1


async def test_health_endpoint_fails_with_500(flt, up):
    await flt.faults("up", health="error")
    assert (await _call(flt, f"{up}/-/health"))[0] == 500


@pytest.mark.parametrize("content", [{"colour": 1}, {"health": "odd"}, [1]])
async def test_invalid_switch_is_rejected(flt, up, content):
    """A mistyped switch would let a test pass without its fault."""
    async with flt.http.post(f"{up}/-/faults", json=content) as resp:
        assert resp.status == 400

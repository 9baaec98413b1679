"""Guards against repeated, lost and misreported writes to the store."""

import asyncio
import itertools
import time

import pytest
import pytest_asyncio
from support import fleet
from support import ports

from bramleyworks import errors
from bramleyworks.adapters import store_http


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def flt(tmp_path_factory):
    async with fleet.Fleet(tmp_path_factory.mktemp("store")) as started:
        await started.start_store()
        yield started


@pytest_asyncio.fixture(loop_scope="module")
async def kv(flt):
    await flt.faults(
        "store",
        down=False,
        slow_ms=0,
        lose_replies=0,
        writes_per_s=0,
        reads_per_s=0,
    )
    async with store_http.HttpStore(flt.urls["store"]) as opened:
        yield opened


pytestmark = pytest.mark.asyncio(loop_scope="module")


async def test_key_without_entry_is_none(kv):
    assert await kv.get("none") is None


async def test_value_of_the_largest_size_is_stored_unchanged(kv):
    value = bytes(range(250)) * 4000
    assert len(value) == store_http.MAX_VALUE_BYTES
    written = await kv.put("audit/63", value, 0)
    assert await kv.get("audit/63") == written


async def test_value_over_the_limit_is_rejected_without_effect(flt, kv):
    with pytest.raises(errors.StoreError) as caught:
        await kv.put("big", b"x" * (store_http.MAX_VALUE_BYTES + 1), 0)
    assert not isinstance(caught.value, errors.StoreUnknownError)
    assert await kv.get("big") is None


async def test_write_with_a_wrong_revision_conflicts(kv):
    first = await kv.put("cas", b"1", 0)
    for stale in (0, first.revision + 1000):
        with pytest.raises(errors.StoreConflictError) as caught:
            await kv.put("cas", b"2", stale)
        assert caught.value.step == "store.put"
        assert caught.value.peer == kv.peer
    assert (await kv.get("cas")).value == b"1"


async def test_one_of_many_concurrent_writers_succeeds(kv):
    results = await asyncio.gather(
        *(kv.put("race", b"%d" % i, 0) for i in range(20)),
        return_exceptions=True,
    )
    succeeded = [i for i, res in enumerate(results) if not _is_conflict(res)]
    assert len(succeeded) == 1
    assert (await kv.get("race")).value == b"%d" % succeeded[0]


def _is_conflict(res):
    return isinstance(res, errors.StoreConflictError)


@pytest.mark.parametrize("attempt", ["first", "pooled"])
async def test_lost_reply_of_a_write_is_unknown_and_never_retried(
    flt, kv, attempt
):
    """aiohttp retries a PUT after a lost connection by default."""
    key = f"lost-{attempt}"
    if attempt == "pooled":
        await kv.get(key)
    before = await flt.get(f"{flt.urls['store']}/-/counts")
    await flt.faults("store", lose_replies=1)
    with pytest.raises(errors.StoreUnknownError):
        await kv.put(key, b"1", 0)
    after = await flt.get(f"{flt.urls['store']}/-/counts")
    assert after["put"] - before["put"] == 1
    assert after["lost_replies"] - before["lost_replies"] == 1
    assert (await kv.get(key)).value == b"1"


async def test_read_is_not_retried_in_an_outage(flt, kv):
    """A retried call would count twice against the store's limits."""
    await kv.get("outage")
    before = await flt.get(f"{flt.urls['store']}/-/counts")
    await flt.faults("store", down=True)
    with pytest.raises(errors.StoreError):
        await kv.get("outage")
    after = await flt.get(f"{flt.urls['store']}/-/counts")
    assert after["get"] - before["get"] == 1


async def test_outage_of_a_connected_write_is_unknown(flt, kv):
    await flt.faults("store", down=True)
    for call in (kv.put("down", b"1", 0), kv.acquire_lease("down", "a", 1.0)):
        with pytest.raises(errors.StoreUnknownError):
            await call
    await flt.faults("store", down=False)
    assert await kv.get("down") is None


async def test_write_without_a_connection_is_not_unknown():
    """A needless read-back in each outage would hide the true cause."""
    url = f"http://127.0.0.1:{ports.free_port()}"
    async with store_http.HttpStore(url) as kv:
        with pytest.raises(errors.StoreError) as caught:
            await kv.put("a", b"1", 0)
    assert not isinstance(caught.value, errors.StoreUnknownError)
    assert caught.value.peer == url


async def test_write_that_takes_effect_after_the_timeout_is_unknown(flt, kv):
    await flt.faults("store", slow_ms=2500)
    with pytest.raises(errors.StoreUnknownError):
        await kv.put("late", b"1", 0)
    await flt.faults("store", slow_ms=0)

    async def written():
        return await kv.get("late")

    assert (await flt.wait_for(written, "the late write")).value == b"1"


async def test_rate_limited_write_has_no_effect_and_is_not_unknown(flt, kv):
    await flt.faults("store", writes_per_s=2)
    with pytest.raises(errors.StoreError) as caught:
        for i in range(10):
            await kv.put(f"limit-{i}", b"1", 0)
    assert not isinstance(caught.value, errors.StoreUnknownError)
    assert "429" in caught.value.reason
    assert await kv.get(f"limit-{i}") is None


async def test_watch_returns_the_change_while_it_waits(flt, kv):
    first = await kv.put("watched", b"1", 0)
    waiting = asyncio.create_task(kv.watch("watched", first.revision, 10.0))

    async def is_waiting():
        counts = await flt.get(f"{flt.urls['store']}/-/counts")
        return counts["waiting_watches"] == 1

    await flt.wait_for(is_waiting, "the watch to wait")
    await kv.put("other", b"1", 0)
    second = await kv.put("watched", b"2", first.revision)
    assert await waiting == second


async def test_watch_sees_a_write_from_before_it_started(kv):
    """A change between a read and the watch must not be missed."""
    entry = await kv.put("missed", b"1", 0)
    assert await kv.watch("missed", entry.revision - 1, 10.0) == entry


async def test_watch_without_change_ends_after_its_wait(kv):
    entry = await kv.put("still", b"1", 0)
    started_s = time.monotonic()
    assert await kv.watch("still", entry.revision, 0.7) is None
    assert time.monotonic() - started_s >= 0.7


async def test_waiting_watch_fails_when_the_store_goes_down(flt, kv):
    waiting = asyncio.create_task(kv.watch("any", 10_000, 30.0))
    await asyncio.sleep(0.1)
    await flt.faults("store", down=True)
    with pytest.raises(errors.StoreError):
        await asyncio.wait_for(waiting, 5.0)


async def test_cancelled_watch_is_not_counted_as_waiting(flt, kv):
    """Watches of dead daemons would look like load on the store."""
    waiting = asyncio.create_task(kv.watch("left", 10_000, 30.0))
    await asyncio.sleep(0.1)
    waiting.cancel()

    async def none_waits():
        counts = await flt.get(f"{flt.urls['store']}/-/counts")
        return counts["waiting_watches"] == 0

    await flt.wait_for(none_waits, "the watch to end", 5.0)


async def test_fencing_token_increases_with_each_holder(kv):
    first = await kv.acquire_lease("driver", "a", 30.0)
    assert await kv.acquire_lease("driver", "b", 30.0) is None
    renewed = await kv.acquire_lease("driver", "a", 30.0)
    assert renewed.token == first.token
    await kv.release_lease("driver", "b")
    assert await kv.acquire_lease("driver", "b", 30.0) is None
    await kv.release_lease("driver", "a")
    second = await kv.acquire_lease("driver", "b", 30.0)
    assert second.token > first.token


async def test_expired_lease_gets_a_new_token_even_for_its_last_holder(flt, kv):
    """Another holder may have come and gone in between."""
    first = await kv.acquire_lease("brief", "a", 0.05)
    await asyncio.sleep(0.1)
    again = await kv.acquire_lease("brief", "a", 0.05)
    assert again.token > first.token

    async def taken():
        return await kv.acquire_lease("brief", "b", 30.0)

    assert (await flt.wait_for(taken, "the lease")).token > again.token


async def test_lease_lifetime_counts_from_before_the_call(flt):
    """Counting from the reply would let two holders overlap."""
    times = itertools.count(100.0, 50.0)
    async with store_http.HttpStore(
        flt.urls["store"], clock=lambda: next(times)
    ) as kv:
        lease = await kv.acquire_lease("clock", "a", 1.0)
    assert lease.expires_s == 101.0


async def test_response_without_revision_is_an_error_not_an_entry(kv):
    """Another service at the store's address must not pass as the store."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        writer.close()

    port = ports.free_port()
    async with await asyncio.start_server(respond, "127.0.0.1", port):
        async with store_http.HttpStore(f"http://127.0.0.1:{port}") as other:
            with pytest.raises(errors.StoreError):
                await other.get("a")
            with pytest.raises(errors.StoreUnknownError):
                await other.put("a", b"", 0)


async def test_hanging_store_is_unknown_to_a_writer_and_killed_store_is_not(
    flt, kv
):
    """A hang is unknown to a writer, a refused connection is not."""
    process = flt.children["store"]
    process.pause()
    try:
        with pytest.raises(errors.StoreUnknownError):
            await kv.put("hang", b"1", 0)
    finally:
        process.resume()
    process.kill()
    with pytest.raises(errors.StoreError):
        await kv.get("hang")
    await flt.start_store()
    assert await kv.get("hang") is None

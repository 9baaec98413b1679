"""Guards against lost, duplicated and overwritten configuration changes."""

import asyncio

import msgspec
import pytest
from support import fake_store
from support import sample_document
from support import virtual_clock

from bramleyworks import errors
from bramleyworks.document import codec
from bramleyworks.document import stored_config
from bramleyworks.operations import apply_errors
from bramleyworks.operations import config_writer
from bramleyworks.policy import move_record

NOW_S = sample_document.NOW_S


class _Store(fake_store.FakeStore):
    """Loses writes before their effect, and can fail reads after a write."""

    def __init__(self):
        super().__init__(virtual_clock.VirtualClock())
        self.lose_writes = 0
        self.failing_reads_after_put = 0
        self.puts = 0
        self.put_called = asyncio.Event()

    async def get(self, key):
        await asyncio.sleep(0)
        if self.put_called.is_set() and self.failing_reads_after_put:
            self.failing_reads_after_put -= 1
            raise errors.StoreError("store.get", "fake", "timeout")
        return await super().get(key)

    async def put(self, key, value, expected_revision):
        self.puts += 1
        self.put_called.set()
        await asyncio.sleep(0)
        if self.lose_writes:
            self.lose_writes -= 1
            raise errors.StoreUnknownError("store.put", "fake", "timeout")
        return await super().put(key, value, expected_revision)


@pytest.fixture
def store():
    return _Store()


async def _no_sleep(seconds):
    assert seconds > 0


async def _apply(store, base, author="ana", apply_id="id1", edits=()):
    return await config_writer.apply(
        store,
        sample_document.build(*edits),
        base,
        author,
        NOW_S,
        apply_id,
        sleep=_no_sleep,
    )


async def _in_force(store):
    return (await config_writer.read(store)).unwrap()[0]


def _rate(value):
    return [(("organisations", 0, "rate_per_s"), value)]


async def test_one_of_two_concurrent_applies_succeeds_and_one_has_a_stale_base(
    store,
):
    await _apply(store, 0, apply_id="id0")
    results = await asyncio.gather(
        _apply(store, 1, "ana", "id1", _rate(110)),
        _apply(store, 1, "rui", "id2", _rate(120)),
    )
    assert [outcome.is_ok() for outcome in results] == [True, False]
    exc = results[1].unwrap_err()
    assert isinstance(exc, apply_errors.StaleBaseError)
    (entry,) = exc.entries
    assert (entry.version, entry.author) == (2, "ana")
    assert "organisations[hanbit].rate_per_s changed" in entry.summary
    assert (await _in_force(store)).doc.organisations[0].rate_per_s == 110


async def test_a_stale_base_is_rejected_without_a_write(store):
    for version in range(3):
        (await _apply(store, version, apply_id=f"id{version}")).unwrap()
    exc = (await _apply(store, 1, apply_id="late")).unwrap_err()
    assert [entry.version for entry in exc.entries] == [3, 2]
    assert store.puts == 3


async def test_a_reply_lost_after_the_effect_is_resolved_by_reading(store):
    store.lose_replies = 1
    store.failing_reads_after_put = 2
    assert (await _apply(store, 0)).unwrap().version == 1
    assert store.puts == 1


async def test_a_superseded_write_is_still_recognised(store):
    """The reply is lost and another apply comes before the read-back."""
    await _apply(store, 0, apply_id="id0")
    store.put_called.clear()
    first = asyncio.create_task(_apply(store, 1, "ana", "id1", _rate(110)))
    store.lose_replies = 1
    store.failing_reads_after_put = 1
    await store.put_called.wait()
    await asyncio.sleep(0)
    stored = await fake_store.FakeStore.get(store, "config")
    updated = codec.decode_stored(stored.value).unwrap()
    later = msgspec.structs.replace(updated, version=3, apply_id="id2")
    await store.put("config", codec.encode_stored(later), stored.revision)
    assert (await first).unwrap().version == 2


async def test_a_reply_lost_before_the_effect_is_reported_as_unknown(store):
    """The write may still be in flight; a second one could apply it twice."""
    await _apply(store, 0, apply_id="id0")
    store.lose_writes = 1
    exc = (await _apply(store, 1, apply_id="id1")).unwrap_err()
    assert isinstance(exc, apply_errors.OutcomeUnknownError)
    assert "id1" in exc.reason
    assert "version 1 was in force at the last read" in exc.reason
    assert store.puts == 2
    assert (await _apply(store, 1, apply_id="id2")).unwrap().version == 2


async def test_a_lost_write_superseded_by_another_has_a_stale_base(store):
    await _apply(store, 0, apply_id="id0")
    store.lose_writes = 1
    store.failing_reads_after_put = 1
    store.put_called.clear()
    first = asyncio.create_task(_apply(store, 1, apply_id="id1"))
    await store.put_called.wait()
    store.failing_reads_after_put = 0
    await _apply(store, 1, "rui", apply_id="id2")
    exc = (await first).unwrap_err()
    assert isinstance(exc, apply_errors.StaleBaseError)
    assert exc.entries[0].author == "rui"


async def test_the_outcome_is_unknown_if_the_store_stays_down_after_the_write(
    store,
):
    store.lose_replies = 1
    store.failing_reads_after_put = 100
    exc = (await _apply(store, 0)).unwrap_err()
    assert isinstance(exc, apply_errors.OutcomeUnknownError)
    assert exc.apply_id == "id1"
    assert 100 - store.failing_reads_after_put == config_writer.READ_ATTEMPTS


async def test_a_conflicting_write_is_not_written_even_if_reads_fail(store):
    await _apply(store, 0, apply_id="id0")

    async def put(key, value, expected_revision):
        store.put_called.set()
        raise errors.StoreConflictError("store.put", "fake", "config")

    store.put_called.clear()
    store.put = put
    store.failing_reads_after_put = 100
    exc = (await _apply(store, 1, apply_id="id1")).unwrap_err()
    assert isinstance(exc, apply_errors.NotWrittenError)


async def test_nothing_is_written_if_the_store_is_down_before_the_write(store):
    store.down = True
    exc = (await _apply(store, 0)).unwrap_err()
    assert isinstance(exc, apply_errors.NotWrittenError)
    assert (exc.step, exc.peer) == ("store.get", "fake")
    assert (store.puts, store.calls) == (0, config_writer.READ_ATTEMPTS)


async def test_an_invalid_document_is_not_written(store):
    exc = (await _apply(store, 0, author="", edits=_rate(0))).unwrap_err()
    assert [item.path for item in exc.problems] == [
        "author",
        "organisations[0].rate_per_s",
    ]
    assert store.puts == 0


async def test_a_move_id_recorded_by_the_driver_is_not_reused(store):
    record = move_record.MoveRecord(1, 0, 0, "undone", "fault", NOW_S)
    await store.put("moves", move_record.encode_all({"m1": record}), 0)
    edits = [(("moves",), [sample_document.move()])]
    exc = (await _apply(store, 0, edits=edits)).unwrap_err()
    assert [item.path for item in exc.problems] == ["moves[0].id"]


async def test_a_malformed_stored_value_is_not_overwritten(store):
    await store.put("config", b"{", 0)
    exc = (await _apply(store, 0)).unwrap_err()
    assert isinstance(exc, apply_errors.NotWrittenError)
    assert store.puts == 1


async def test_history_is_bounded_and_stored_bytes_are_normalised(store):
    for version in range(stored_config.HISTORY_LIMIT + 5):
        edits = _rate(100 + version % 2)
        (await _apply(store, version, edits=edits)).unwrap()
    stored = await _in_force(store)
    assert len(stored.history) == stored_config.HISTORY_LIMIT
    assert stored.history[0].version == stored.version
    raw = (await store.get("config")).value
    assert codec.encode_stored(codec.decode_stored(raw).unwrap()) == raw


def test_a_summary_of_many_changes_stays_short():
    text = config_writer.summarise(None, sample_document.build())
    assert len(text.encode()) <= config_writer.SUMMARY_MAX_BYTES
    assert text.endswith("changes)")

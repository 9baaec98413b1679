"""Guards against an owner that grants slots which may still be in use."""

import msgspec
from support import slot_simulation

from bramleyworks.document import upstream
from bramleyworks.policy import probe_result
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import slot_owner

OK = slot_outcome.SlotOutcome.OK
FAILED = slot_outcome.SlotOutcome.FAILED
KEY = ("s", "v1", "A")
NAMES = ("a1", "a2", "a3", "a4")


def make_owner(sizes, now_s=0.0, settled=True, **fields):
    owner = slot_owner.SlotOwner("vm.1", "A")
    doc = slot_simulation.make_document(sizes, **fields)
    owner.configure(doc, now_s)
    owner.set_owned(frozenset(sizes), now_s)
    if settled:
        owner.expire(now_s + 31.0)
    return owner, doc


def reading(busy=0, status="ok", version="v1"):
    return probe_result.ProbeResult(status, busy, 5, version)


def fill(owner, now_s, key=KEY, limit=100, **kwargs):
    uses = []
    while len(uses) < limit:
        use = owner.acquire(key, "x", (), now_s, **kwargs)
        if use is None:
            return uses
        uses.append(use)
    raise AssertionError("more slots than expected")


def test_new_owner_uses_only_slots_that_load_readings_show_as_free():
    owner, _ = make_owner({"a1": 5}, settled=False)
    assert fill(owner, 1.0) == []
    owner.on_probe("a1", reading(3), 4.0, 4.0)
    # An endpoint whose reading has never changed may be frozen.
    assert len(fill(owner, 4.0)) == 1
    # The reading now includes this request; it must not be counted twice.
    owner.on_probe("a1", reading(4), 5.0, 5.0)
    assert len(fill(owner, 5.0)) == 1
    owner.on_probe("a1", reading(5), 6.0, 6.0)
    assert fill(owner, 6.0) == []
    assert len(fill(owner, 31.0)) == 3


def test_readings_soon_after_a_takeover_may_predate_it():
    owner, _ = make_owner({"a1": 5}, settled=False)
    owner.on_probe("a1", reading(0), 3.9, 4.1)
    assert fill(owner, 4.2) == []
    owner.on_probe("a1", reading(4), 4.0, 4.5)
    assert len(fill(owner, 4.6)) == 1


def test_reading_that_misses_own_requests_is_ignored():
    owner, _ = make_owner({"a1": 5}, settled=False)
    owner.on_probe("a1", reading(3), 4.0, 4.0)
    owner.on_probe("a1", reading(2), 5.0, 5.0)
    uses = fill(owner, 5.0)
    assert len(uses) == 3
    owner.release(uses[0].use_id, OK, 6.0)
    owner.on_probe("a1", reading(0), 9.0, 9.0)
    assert fill(owner, 9.1) == []


def test_upstream_added_by_a_later_document_starts_cold():
    owner, doc = make_owner({"a1": 5}, warmup_s=10.0)
    added = upstream.Upstream("a2", "s", "v1", "A", "f", "http://a2", 5)
    doc = msgspec.structs.replace(doc, upstreams=(*doc.upstreams, added))
    owner.configure(doc, 100.0)
    owner.set_owned(frozenset({"a1", "a2"}), 101.0)
    for at_s, busy in ((105.0, 1), (105.0, 0)):
        owner.on_probe("a2", reading(busy), at_s, at_s)
    taken = [use.upstream for use in fill(owner, 105.0)]
    assert taken.count("a2") == 2
    taken += [use.upstream for use in fill(owner, 106.1)]
    assert taken.count("a2") == 3
    taken += [use.upstream for use in fill(owner, 111.1)]
    assert taken.count("a2") == 5


def test_upstream_starts_cold_after_draining():
    owner, _ = make_owner({"a1": 5}, warmup_s=10.0)
    owner.on_probe("a1", reading(status="draining"), 40.0, 40.0)
    assert fill(owner, 40.0) == []
    owner.on_probe("a1", reading(), 50.0, 50.0)
    assert len(fill(owner, 50.0)) == 1


def test_failing_upstream_is_readmitted_by_one_half_open_probe_at_a_time():
    owner, _ = make_owner({"a1": 5}, warmup_s=10.0)
    for _ in range(3):
        owner.release(owner.acquire(KEY, "x", (), 40.0).use_id, FAILED, 40.0)
    assert fill(owner, 40.5) == []
    trial = fill(owner, 41.1)
    assert len(trial) == 1 and trial[0].trial
    owner.release(trial[0].use_id, FAILED, 41.2)
    assert fill(owner, 42.5) == [], "the backoff did not double"
    trial = fill(owner, 43.3)
    owner.release(trial[0].use_id, OK, 43.4)
    assert len(fill(owner, 43.5)) == 1, "the upstream did not start cold"


def test_failed_probes_exclude_at_most_half_of_the_upstreams():
    owner, _ = make_owner(dict.fromkeys(NAMES, 2))
    for at_s in (40.0, 41.0, 42.0, 42.5):
        for name in NAMES:
            owner.on_probe(name, None, at_s, at_s)
    excluded = [n for n in NAMES if owner.health_of(n).excluded]
    assert len(excluded) == 2
    assert {u.upstream for u in fill(owner, 42.6)} == set(NAMES) - set(excluded)


def test_all_upstreams_may_drain_and_a_wrong_version_is_a_failed_probe():
    owner, _ = make_owner(dict.fromkeys(NAMES, 2))
    for name in NAMES:
        owner.on_probe(name, reading(version="v9"), 40.0, 40.0)
        assert owner.health_of(name).probe_failures == 1
        owner.on_probe(name, reading(status="draining"), 41.0, 41.0)
    assert fill(owner, 41.0) == []


def test_reserved_slots_stay_free_for_the_region_of_the_upstream():
    owner, _ = make_owner({"a1": 3, "a2": 2}, reserve_slots=2)
    assert len(fill(owner, 40.0, foreign=True)) == 3
    assert len(fill(owner, 40.0)) == 2


def test_small_share_of_a_new_version_fills_one_upstream_first():
    owner, doc = make_owner(dict.fromkeys(NAMES, 3))
    doc = msgspec.structs.replace(
        doc,
        upstreams=tuple(
            msgspec.structs.replace(u, version="v1" if i == 0 else "v2")
            for i, u in enumerate(doc.upstreams)
        ),
    )
    owner.configure(doc, 40.0)
    key = ("s", "v2", "A")
    for i in range(1000):
        owner.count_request("s", "v2" if i % 50 == 0 else "v1", 140.0)
    assert owner.has_small_share("s", "v2") and not owner.has_small_share(
        "s", "v1"
    )
    for at_s in (141.0, 145.0):
        for name in NAMES:
            owner.on_probe(name, reading(), at_s, at_s)
    taken = [use.upstream for use in fill(owner, 200.0, key)]
    assert len(set(taken[:3])) == 1 and len(set(taken)) == 3
    for _ in range(300):
        owner.count_request("s", "v2", 201.0)
    assert not owner.has_small_share("s", "v2")


def test_uses_still_count_when_an_upstream_is_lost_and_regained():
    owner, _ = make_owner({"a1": 5})
    uses = fill(owner, 40.0)
    owner.set_owned(frozenset(), 41.0)
    owner.set_owned(frozenset({"a1"}), 42.0)
    assert owner.used("a1") == 5
    owner.release(uses[0].use_id, OK, 46.0)
    owner.on_probe("a1", reading(4), 47.0, 47.0)
    assert fill(owner, 47.0) == []


def test_shorter_request_limit_does_not_shorten_the_wait_for_earlier_loans():
    owner, doc = make_owner({"a1": 5}, settled=False, max_request_s=30.0)
    svc = msgspec.structs.replace(doc.services[0], max_request_s=1.0)
    doc = msgspec.structs.replace(doc, services=(svc,))
    owner.configure(doc, 1.0)
    owner.set_owned(frozenset(), 1.0)
    owner.set_owned(frozenset({"a1"}), 2.0)
    assert fill(owner, 32.0) == []
    assert len(fill(owner, 33.1)) == 5


def test_upstream_removed_from_the_document_counts_until_release():
    owner, doc = make_owner({"a1": 2, "a2": 2})
    uses = fill(owner, 40.0)
    reduced = msgspec.structs.replace(doc, upstreams=doc.upstreams[1:])
    owner.configure(reduced, 41.0)
    assert owner.used("a1") == 2
    owner.configure(doc, 42.0)
    assert fill(owner, 42.0) == []
    for use in uses:
        owner.release(use.use_id, OK, 43.0)
    assert owner.used("a1") == 0


def test_owner_with_a_used_slot_or_a_waiting_request_is_not_idle():
    # The slot task runs less often while its owner is idle.
    owner, _ = make_owner({"a1": 1})
    assert owner.is_idle()
    use = owner.acquire(KEY, "x", (), 40.0)
    assert not owner.is_idle()
    entry = owner.enqueue(KEY, "x", object(), 50.0, (), 40.0)
    owner.release(use.use_id, OK, 40.0)
    assert not owner.is_idle()
    owner.remove(KEY, entry)
    assert owner.is_idle()

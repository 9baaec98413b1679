"""Copies of the store between VMs."""

import random

from bramleyworks.gateway import replica_update
from bramleyworks.gateway import store_replica
from bramleyworks.gateway import store_sync
from bramleyworks.platform import kv_item


def made(revision, items):
    found = store_replica.StoreReplica(lambda item: None)
    found.replace(
        revision, [kv_item.KvItem(key, value, 1) for key, value in items]
    )
    return found


def test_follower_gets_the_changes_alone():
    values = [(f"servers/{n}", b"x" * 300) for n in range(500)]
    source = made(10, values)
    follower = made(10, values)
    copies = replica_update.ReplicaUpdateEncoder(source)
    source.apply(
        12,
        [
            kv_item.KvItem("servers/7", None, 11),
            kv_item.KvItem("op/config", b"new", 12),
        ],
    )
    raw = copies.encode(follower.revision)
    assert len(raw) < 200
    assert replica_update.apply_update(raw, "peer", follower).unwrap() == 2
    assert follower.revision == 12
    assert follower.get("servers/7") is None
    assert follower.get("op/config").value == b"new"
    assert replica_update.apply_update(raw, "peer", follower).unwrap() is None


def test_copy_is_made_anew_when_only_the_revision_grows():
    source = made(10, [("op/config", b"one")])
    copies = replica_update.ReplicaUpdateEncoder(source)
    follower = made(10, [("op/config", b"one")])
    copies.encode(10)
    source.apply(15, [])
    assert (
        replica_update.apply_update(
            copies.encode(10), "peer", follower
        ).unwrap()
        == 0
    )
    assert follower.revision == 15


def test_follower_without_the_history_gets_everything():
    source = made(10, [("op/config", b"one")])
    follower = made(3, [("servers/1", b"gone")])
    copies = replica_update.ReplicaUpdateEncoder(source)
    assert (
        replica_update.apply_update(copies.encode(3), "peer", follower).unwrap()
        == 1
    )
    assert follower.get("servers/1") is None


def test_long_configuration_shrinks():
    rng = random.Random(1)
    rules = "".join(
        f'{{"name":"r{n}","match":{{"prefix":"/{rng.random():.6f}/"}},'
        f'"action":{{"service":"desk","timeout_ms":3000,"attempts":2}}}},'
        for n in range(1400)
    )
    source = made(10, [("op/config", rules.encode())])
    raw = replica_update.ReplicaUpdateEncoder(source).encode(0)
    assert len(raw) < 0.25 * len(rules)


def test_speakers_take_over_in_turn():
    speakers = ["s1", "s2"]

    def watching(age_1, age_2):
        ages = {"s1": age_1, "s2": age_2}
        return [
            name
            for name in ("s1", "s2", "x")
            if not store_sync.follows_relay(name, speakers, ages)
        ]

    assert watching(0.5, 0.6) == ["s1"]
    # The first one has no answer; the second one follows it no longer.
    assert watching(1.3, 1.4) == ["s1", "s2"]
    assert watching(9.0, 0.3) == ["s1", "s2"]
    # No speaker reaches the store: every VM tries.
    assert watching(1.7, 1.7) == ["s1", "s2", "x"]
    assert store_sync.follows_relay("x", speakers, {}) is False


def test_malformed_copy_changes_nothing():
    follower = made(3, [("servers/1", b"kept")])
    for raw in (b"", b"\xff\xff", b"x\x9c\x03\x00\x00\x00\x00\x01"):
        assert replica_update.apply_update(raw, "peer", follower).is_err()
    assert follower.get("servers/1").value == b"kept"

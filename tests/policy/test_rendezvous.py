"""Guards against keys that change node without need or ignore the shares."""

import collections

import pytest

from bramleyworks.policy import rendezvous

KEYS = [f"object-{n}" for n in range(4000)]


def test_removing_a_node_moves_only_its_keys():
    nodes = [f"node-{n}" for n in range(8)]
    for key in KEYS[:500]:
        before = rendezvous.rank(key, nodes)
        after = rendezvous.rank(key, nodes[1:])
        assert after == [n for n in before if n != nodes[0]]


def test_keys_follow_the_shares():
    shares = {"a": 0.6, "b": 0.3, "c": 0.1, "d": 0.0}
    counts = collections.Counter(rendezvous.pick(k, shares) for k in KEYS)
    for name, share in shares.items():
        assert counts[name] / len(KEYS) == pytest.approx(share, abs=0.03)


def test_change_of_shares_moves_the_minimum_of_keys():
    before = {"a": 0.60, "b": 0.40}
    after = {"a": 0.55, "b": 0.45}
    moved = sum(
        rendezvous.pick(k, before) != rendezvous.pick(k, after) for k in KEYS
    )
    assert moved / len(KEYS) == pytest.approx(0.05, abs=0.02)


def test_node_without_a_share_gets_no_keys():
    assert rendezvous.pick("x", {}) is None
    assert rendezvous.pick("x", {"a": 0.0}) is None

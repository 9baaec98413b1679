"""Dealing requests in proportion to weights."""

import collections

from bramleyworks.policy import weighted_round_robin


def test_every_run_is_within_one_of_the_weights():
    turn = weighted_round_robin.WeightedRoundRobin()
    weights = {"a": 0.7, "b": 0.2, "c": 0.1}
    counts = collections.Counter()
    for number in range(1, 500):
        counts[turn.next(weights)] += 1
        for name, weight in weights.items():
            assert abs(counts[name] - weight * number) <= 1.0


def test_only_allowed_names_are_dealt():
    turn = weighted_round_robin.WeightedRoundRobin()
    assert turn.next({"a": 1.0, "b": 1.0}, {"b"}) == "b"
    assert turn.next({"a": 1.0}, set()) is None
    assert turn.next({"a": 0.0}) is None

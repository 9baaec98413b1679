"""Guards against request counts that deviate from the weights."""

import collections

from bramleyworks.policy import weighted_round_robin


def test_counts_are_always_within_one_of_the_weights():
    round_robin = weighted_round_robin.WeightedRoundRobin()
    weights = {"a": 0.7, "b": 0.2, "c": 0.1}
    counts = collections.Counter()
    for number in range(1, 500):
        counts[round_robin.next(weights)] += 1
        for name, weight in weights.items():
            assert abs(counts[name] - weight * number) <= 1.0


def test_only_allowed_names_with_weight_are_returned():
    round_robin = weighted_round_robin.WeightedRoundRobin()
    assert round_robin.next({"a": 1.0, "b": 1.0}, {"b"}) == "b"
    assert round_robin.next({"a": 1.0}, set()) is None
    assert round_robin.next({"a": 0.0}) is None

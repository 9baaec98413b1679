"""Guards against moves that abort a good version or keep a faulty one."""

import random

import pytest

from bramleyworks.policy import canary_verdict

Counts = canary_verdict.Counts


def test_share_starts_small_and_reaches_all_requests_before_the_deadline():
    assert canary_verdict.share(0.0, 15.0) == canary_verdict.INITIAL_SHARE
    assert canary_verdict.share(5.9, 15.0) == canary_verdict.INITIAL_SHARE
    assert 0.1 < canary_verdict.share(8.0, 15.0) < 0.9
    assert canary_verdict.share(11.3, 15.0) == 1.0


def test_equal_versions_are_not_worse():
    rng = random.Random(1)
    for _ in range(300):
        total = rng.randint(50, 2000)
        old = Counts(total, sum(rng.random() < 0.02 for _ in range(total)))
        new = Counts(total, sum(rng.random() < 0.02 for _ in range(total)))
        assert not canary_verdict.is_worse(new, old)


@pytest.mark.parametrize("rate", [0.3, 0.5])
def test_faulty_version_is_detected_within_fifty_bad_responses(rate):
    rng = random.Random(2)
    for _ in range(200):
        new = Counts()
        while not canary_verdict.is_worse(new, Counts(1000, 10)):
            bad = int(rng.random() < rate)
            new = canary_verdict.add(new, Counts(1, bad))
            assert new.bad < 50


def test_fault_in_both_versions_does_not_count_against_the_new_one():
    assert not canary_verdict.is_worse(Counts(100, 30), Counts(1000, 300))

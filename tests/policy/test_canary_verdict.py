"""Guards against moves that abort a good version or keep a faulty one."""

import random

import pytest

from bramleyworks.policy import canary_share
from bramleyworks.policy import canary_verdict

Alarm = canary_verdict.Alarm
Counts = canary_verdict.Counts


def test_share_starts_small_and_reaches_all_requests_before_the_deadline():
    assert canary_share.trial(0.0, 15.0) == canary_share.INITIAL_SHARE
    assert canary_share.scheduled(0.0, 15.0) < canary_share.INITIAL_SHARE
    assert canary_share.scheduled(5.9, 15.0) < canary_share.INITIAL_SHARE
    assert 0.1 < canary_share.scheduled(8.0, 15.0) < 0.9
    assert canary_share.scheduled(11.3, 15.0) == 1.0


def _responses(rng, rate, count):
    return Counts(count, sum(rng.random() < rate for _ in range(count)))


def test_equal_versions_are_not_worse():
    rng = random.Random(1)
    for _ in range(300):
        old = new = Counts()
        alarm = Alarm()
        total = rng.randint(50, 2000)
        while new.responses < total:
            step = rng.randint(1, 20)
            old = canary_verdict.add(old, _responses(rng, 0.02, step))
            new = canary_verdict.add(new, _responses(rng, 0.02, step))
            alarm = canary_verdict.advance(alarm, new, old, 0.2)
            assert not canary_verdict.is_faulty(alarm)


@pytest.mark.parametrize("rate", [0.2, 0.3, 0.5])
@pytest.mark.parametrize("good_before", [0, 500])
def test_faulty_version_is_detected_within_fifty_bad_responses(
    good_before, rate
):
    rng = random.Random(2)
    for _ in range(200):
        new = Counts(good_before, 0)
        alarm = canary_verdict.advance(Alarm(), new, Counts(1000, 10), 0.2)
        while not canary_verdict.is_faulty(alarm):
            new = canary_verdict.add(new, _responses(rng, rate, 1))
            alarm = canary_verdict.advance(alarm, new, Counts(1000, 10), 0.2)
            assert new.bad < 50


def test_fault_in_both_versions_does_not_count_against_the_new_one():
    alarm = canary_verdict.advance(
        Alarm(), Counts(100, 30), Counts(1000, 300), 0.2
    )
    assert not canary_verdict.is_faulty(alarm)
    assert not canary_verdict.is_suspect(alarm, Counts(1000, 300))


def test_overdue_requests_keep_a_version_from_being_confirmed():
    """Guards against good responses of a slow version that arrive first."""
    old = Counts(1000, 10, 20, 1)
    assert canary_verdict.is_confirmed(Counts(30, 0, 10, 0), old)
    slow = Counts(30, 0, 10, 8)
    assert not canary_verdict.is_confirmed(slow, old)
    assert canary_verdict.is_suspect(Alarm(0.0, slow), old)


def test_counts_that_are_lost_with_a_vm_add_nothing():
    old = Counts(1000, 10)
    alarm = canary_verdict.advance(Alarm(), Counts(20, 3), old, 0.2)
    lost = canary_verdict.advance(alarm, Counts(10, 1), old, 0.2)
    assert lost.level == alarm.level
    more = canary_verdict.advance(lost, Counts(11, 2), old, 0.2)
    assert more.level > lost.level

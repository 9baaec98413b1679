"""Guards against shifts that are too early, too many or to a wrong region."""

import math

from bramleyworks.document import link_cap
from bramleyworks.policy import retry_budget
from bramleyworks.policy import shift
from bramleyworks.policy import shift_ramp
from bramleyworks.policy import wait_estimate


def count_shifts(state, cap, from_s, to_s):
    count = 0
    now_s = from_s
    while now_s < to_s:
        state, allowed = shift.may_start(state, cap, now_s)
        if allowed:
            state = shift.after_start(state, now_s)
            count += 1
        now_s += 0.01
    return state, count


def test_cold_region_is_warmed_up_in_steps():
    state = shift_ramp.ShiftRamp()
    counts = []
    for step in range(4):
        start_s = 100.0 + shift.RAMP_STEP_S * step
        end_s = start_s + shift.RAMP_STEP_S
        state, count = count_shifts(state, 50.0, start_s, end_s)
        counts.append(count)
    for count, share in zip(counts, (0.1, 0.25, 0.5, 0.75), strict=True):
        cap = 50.0 * shift.RAMP_STEP_S
        assert share * cap - 3 <= count <= share * cap + 3
    assert shift.ramp_share(state, 100.1 + 4 * shift.RAMP_STEP_S) == 1.0


def test_region_is_cold_again_after_an_idle_minute():
    state = shift_ramp.ShiftRamp(started_s=0.0, last_shift_s=100.0)
    assert shift.ramp_share(state, 159.0) == 1.0
    assert shift.ramp_share(state, 161.0) == 0.1


def test_small_cap_allows_the_first_request():
    _, count = count_shifts(shift_ramp.ShiftRamp(), 0.1, 100.0, 101.0)
    assert count == 1


def test_only_capped_undrained_regions_with_free_slots_are_tried():
    caps = [
        link_cap.LinkCap("A", name, rate)
        for name, rate in (("B", 5.0), ("C", 5.0), ("D", 0.0), ("E", 5.0))
    ]
    caps.append(link_cap.LinkCap("B", "F", 5.0))
    free = {"A": 9, "B": 1, "C": 3, "D": 9, "E": 9, "F": 9, "G": 9}
    assert shift.target_regions("A", caps, free, frozenset("E")) == ["C", "B"]
    assert shift.target_regions("A", caps, {"B": 0}, frozenset()) == []


def test_shift_only_when_the_wait_exceeds_the_threshold():
    state = wait_estimate.WaitEstimate()
    assert shift.expected_wait_s(state, True, 0.0) == 0.0
    assert shift.expected_wait_s(state, False, 0.0) == math.inf
    for _ in range(100):
        state = shift.after_wait(state, 0.2, 10.0)
    assert shift.should_shift(
        shift.expected_wait_s(state, True, 10.0), 0.0, 0.1
    )
    # Old waits do not count.
    assert shift.expected_wait_s(state, True, 13.0) == 0.0
    assert shift.should_shift(0.0, 0.11, 0.1)
    assert not shift.should_shift(0.0, 0.1, 0.1)


def test_retries_are_a_tenth_of_requests_and_limited_after_idle_time():
    state = retry_budget.RetryBudget()
    for requests, retries in ((9, 0), (1, 1), (10, 1), (1000, 10)):
        for _ in range(requests):
            state = retry_budget.after_request(state)
        made = 0
        while True:
            state, allowed = retry_budget.take(state)
            if not allowed:
                break
            made += 1
        assert made == retries

"""Division of a named rate among the VMs of small and large fleets."""

import pytest

from bramleyworks.policy import return_schedule
from bramleyworks.policy import upstream_rate

REGIONS = ("one", "two", "three")
# An upstream may get half more in any window than it takes, and five requests.
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5


def fleet(size):
    return {f"vm{n}": REGIONS[n % len(REGIONS)] for n in range(size)}


@pytest.mark.parametrize("size", [1, 2, 11, 91, 200])
@pytest.mark.parametrize("rate_per_s", [0.0, 0.3, 1.0, 3.7, 4.7, 20.0, 150.0])
def test_saved_requests_of_all_vms_stay_within_the_tolerance(size, rate_per_s):
    """Guards against a burst of many VMs that each saved up a request."""
    rates = upstream_rate.divide("u1", rate_per_s, "one", fleet(size))
    saved = sum(upstream_rate.capacity(rate) for rate in rates.values())
    most = saved + WINDOW_S * sum(rates.values())
    assert most <= OVER * rate_per_s * WINDOW_S + SLACK
    if rate_per_s >= upstream_rate.MIN_RATE_PER_S:
        assert sum(rates.values()) == pytest.approx(rate_per_s)


def test_most_of_a_rate_goes_to_the_region_of_the_upstream():
    rates = upstream_rate.divide("u1", 4.0, "one", fleet(11))
    near = sum(r for name, r in rates.items() if fleet(11)[name] == "one")
    assert near > 0.6 * 4.0
    assert len(rates) < 11 or min(rates.values()) > 0.0


def test_small_rates_of_many_upstreams_spread_over_the_fleet():
    """Guards against VMs whose callers find no room at any upstream."""
    vms = fleet(11)
    shares = dict.fromkeys(vms, 0.0)
    for number in range(20):
        region = REGIONS[number % len(REGIONS)]
        rates = upstream_rate.divide(f"u{number}", 2.0, region, vms)
        for name, rate in rates.items():
            shares[name] += rate
    assert min(shares.values()) > 0.3 * 20 * 2.0 / len(vms)


def test_vm_that_leaves_does_not_move_the_shares_of_the_others():
    vms = fleet(200)
    before = upstream_rate.divide("u1", 1.0, "one", vms)
    other = next(name for name in vms if name not in before)
    del vms[other]
    assert upstream_rate.divide("u1", 1.0, "one", vms) == before


def test_callers_without_room_return_one_after_the_other():
    """Guards against callers that return together for one free place."""
    schedule = return_schedule.ReturnSchedule()
    waits = [
        schedule.next_wait_s("desk", 10.0, 0.2, 2.0, 1.5) for _ in range(5)
    ]
    assert waits == pytest.approx([0.2, 0.7, 1.2, 1.5, 1.5])
    later = schedule.next_wait_s("desk", 20.0, 0.2, 2.0, 1.5)
    assert later == pytest.approx(0.2)
    other = schedule.next_wait_s("gate", 10.0, 0.7, 2.0, 1.5)
    assert other == pytest.approx(0.7)


def test_caller_with_little_time_takes_no_place_of_another():
    schedule = return_schedule.ReturnSchedule()
    assert schedule.next_wait_s("desk", 10.0, 0.8, 1.0, 0.1) == 0.1
    wait_s = schedule.next_wait_s("desk", 10.0, 0.8, 1.0, 2.0)
    assert wait_s == pytest.approx(0.8)

"""Guards against plans that overload a region or send requests away early."""

import hypothesis
import pytest
from hypothesis import strategies

from bramleyworks.policy import region_plan

SLOTS = {"sudo": 40.0, "yeongnam": 10.0, "honam": 30.0}


def test_requests_stay_in_a_region_with_capacity():
    demand = {"sudo": 20.0, "yeongnam": 8.0, "honam": 20.0}
    for region in SLOTS:
        assert region_plan.plan(region, demand, SLOTS) == {region: 1.0}


def test_overflow_follows_spare_capacity():
    demand = {"sudo": 10.0, "yeongnam": 18.0, "honam": 10.0}
    shares = region_plan.plan("yeongnam", demand, SLOTS)
    assert shares["yeongnam"] == pytest.approx(0.5)
    assert shares["sudo"] == pytest.approx(0.5 * 26 / 43)
    assert shares["honam"] == pytest.approx(0.5 * 17 / 43)


def test_regions_share_a_shortage_in_proportion_to_demand():
    """Under overload each region is served the same fraction of its demand."""
    demand = {"sudo": 50.0, "yeongnam": 50.0, "honam": 50.0}
    used = dict.fromkeys(SLOTS, 0.0)
    served = region_plan.TARGET_UTILISATION * 80 / 150
    for region in SLOTS:
        for name, share in region_plan.plan(region, demand, SLOTS).items():
            used[name] += share * served * demand[region]
    for name, slots in SLOTS.items():
        assert used[name] == pytest.approx(
            region_plan.TARGET_UTILISATION * slots
        )


def test_plan_is_empty_without_capacity():
    assert region_plan.plan("sudo", {"sudo": 1.0}, {}) == {}


def test_region_without_upstreams_sends_all_requests_to_others():
    shares = region_plan.plan("sudo", {"sudo": 5.0}, {"honam": 30.0})
    assert shares == pytest.approx({"honam": 1.0})


_amounts = strategies.dictionaries(
    strategies.sampled_from(["a", "b", "c"]),
    strategies.floats(0.0, 100.0),
    min_size=1,
)


@hypothesis.example({"a": 0.0}, {"a": 0.0, "b": 1.0})
@hypothesis.example({"a": 8.485604735192933e-19}, {"b": 1.0})
@hypothesis.given(_amounts, _amounts)
def test_shares_add_up_to_one(demand, capacity):
    shares = region_plan.plan("a", demand, capacity)
    if sum(capacity.values()) > 1e-6:
        assert sum(shares.values()) == pytest.approx(1.0)
        assert all(capacity.get(n, 0.0) > 0 for n in shares)


@hypothesis.given(_amounts, _amounts, strategies.floats(0.01, 0.5))
def test_ramp_changes_shares_by_at_most_its_step(current, target, step):
    hypothesis.assume(sum(current.values()) > 0.1)
    hypothesis.assume(sum(target.values()) > 0.1)
    current = {n: v / sum(current.values()) for n, v in current.items()}
    target = {n: v / sum(target.values()) for n, v in target.items()}
    moved = region_plan.ramp(current, target, step)
    change = sum(
        max(0.0, moved.get(n, 0.0) - current.get(n, 0.0))
        for n in {*moved, *current}
    )
    assert change <= step + 1e-6

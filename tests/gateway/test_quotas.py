"""Rate limits of organisations over several VMs, on simulated time."""

import random

import pytest
from support import quota_fleet

from bramleyworks.gateway import organisation
from bramleyworks.gateway import quotas
from bramleyworks.policy import shared_limit

WINDOW_S = 5.0
OVER = 0.1
SLACK = 20.0
TICK_S = 0.2


def simulate(vms, limit, rate_at, seconds, lag_s=0.3, seed=1):
    """Sends requests to random VMs; returns (time, admitted) pairs.

    Args:
        vms: Number of VMs.
        limit: Rate and burst of the organisation.
        rate_at: Returns the requests per second at a time.
        seconds: Length of the run.
        lag_s: Age of the usage that VMs receive from each other.
        seed: Seed of the arrivals.
    """
    rng = random.Random(seed)
    now = [0.0]
    org = organisation.Organisation(
        "org", (), 1, float(limit), float(limit), frozenset()
    )
    fleet = [
        quotas.Quotas(WINDOW_S, OVER, SLACK, lambda: now[0]) for _ in range(vms)
    ]
    for one in fleet:
        one.prepare({"org": org})
    # The configuration arrives some seconds before the first request.
    now[0] = 5.0
    history = []
    done = []
    next_tick = now[0]
    while now[0] < seconds + 5.0:
        now[0] += rng.expovariate(rate_at(now[0]))
        while next_tick <= now[0]:
            history.append((next_tick, [q.usage() for q in fleet]))
            known = [h for h in history if h[0] <= next_tick - lag_s]
            if known:
                uses = {str(n): use for n, use in enumerate(known[-1][1])}
                for number, one in enumerate(fleet):
                    peers = {k: u for k, u in uses.items() if k != str(number)}
                    one.update_peers(peers, 0, lag_s)
            next_tick += TICK_S
        admitted = rng.choice(fleet).admit(org) == 0.0
        done.append((now[0], admitted))
    return done


def worst_window(done):
    """Returns the maximum number of admitted requests in any window."""
    times = [at for at, admitted in done if admitted]
    start = 0
    worst = 0
    for end, at in enumerate(times):
        while at - times[start] > WINDOW_S:
            start += 1
        worst = max(worst, end - start + 1)
    return worst


def allowed(limit):
    return (limit * WINDOW_S + limit) * (1 + OVER) + SLACK


@pytest.mark.parametrize("vms", [1, 3, 9, 11, 80])
@pytest.mark.parametrize("usual", [3.0, 12.0, 120.0])
@pytest.mark.parametrize("seed", range(3))
def test_limit_holds_during_a_sudden_burst(vms, usual, seed):
    """The rate jumps to 8 times the usual, with a limit of 1.6 times it.

    Guards against excess that VMs admit before they receive the usage of their
    peers.
    """
    limit = 1.6 * usual
    lag_s = 0.3 if vms < 20 else 0.7

    def rate_at(now_s):
        return usual if now_s < 15 else 8 * usual

    done = simulate(vms, limit, rate_at, 25, lag_s, seed)
    assert worst_window(done) <= allowed(limit)


@pytest.mark.parametrize("vms", [1, 9, 11, 80])
@pytest.mark.parametrize("usual", [3.0, 12.0, 120.0])
def test_organisation_below_its_limit_is_rarely_refused(vms, usual):
    seconds = max(60, 2000 / usual)
    done = simulate(vms, 1.6 * usual, lambda _: usual, seconds, seed=5)
    refused = sum(not admitted for _, admitted in done)
    assert refused / len(done) <= 0.01


def test_restarted_vm_does_not_spend_its_burst_again():
    now = [0.0]
    org = organisation.Organisation("org", (), 1, 10.0, 100.0, frozenset())
    restarted = quotas.Quotas(WINDOW_S, OVER, SLACK, lambda: now[0])
    admitted = sum(restarted.admit(org) == 0.0 for _ in range(500))
    assert admitted <= 0.75 * 100 + SLACK


def test_debt_is_paid_back_before_a_request_after_a_pause():
    limit = shared_limit.SharedLimit(10.0, 10.0, 30.0, 0.0)
    none = shared_limit.Usage(0, 0.0)
    limit.update(none, shared_limit.Usage(50, 0.0), 9, 0, 0.1, 1.0)
    assert limit.admit(4.0) > 0.0
    limit.update(none, none, 9, 0, 6.0, 1.0)
    assert limit.admit(6.0) == 0.0


@pytest.mark.parametrize("vms", [9, 27, 195])
@pytest.mark.parametrize("usual", [3.0, 12.0, 60.0])
@pytest.mark.parametrize("seed", range(3))
def test_organisation_above_its_rate_gets_its_rate_from_many_vms(
    vms, usual, seed
):
    limit = 1.6 * usual
    fleet = quota_fleet.QuotaFleet(vms, limit, seed)
    decisions = fleet.run(
        lambda at_s: usual if at_s < 8 else 4.3 * usual, seconds=23
    )
    assert quota_fleet.admitted(decisions, 11, 23) >= 0.8 * limit * 12
    assert quota_fleet.worst_window(decisions) <= quota_fleet.allowed(limit)


@pytest.mark.parametrize("vms", [9, 27, 195])
@pytest.mark.parametrize("usual", [3.0, 12.0, 60.0])
def test_restart_of_all_vms_does_not_refuse_organisations_below_their_rates(
    vms, usual
):
    decisions = []
    for seed in range(4):
        fleet = quota_fleet.QuotaFleet(vms, 1.6 * usual, seed)
        decisions += fleet.run(
            lambda _: usual, seconds=12, restart_s=10, silent_s=1.0
        )
    assert quota_fleet.share_admitted(decisions, 10, 12) >= 0.25


@pytest.mark.parametrize("vms", [9, 27, 195])
@pytest.mark.parametrize("usual", [3.0, 12.0, 60.0])
@pytest.mark.parametrize("seed", range(2))
def test_restart_of_all_vms_keeps_the_limit_of_an_organisation_above_it(
    vms, usual, seed
):
    limit = 1.6 * usual
    fleet = quota_fleet.QuotaFleet(vms, limit, seed)
    decisions = fleet.run(
        lambda _: 4.3 * usual, seconds=16, restart_s=10, silent_s=1.0
    )
    assert quota_fleet.worst_window(decisions) <= quota_fleet.allowed(limit)


@pytest.mark.parametrize("usual", [6.0, 12.0, 20.0])
@pytest.mark.parametrize("seed", [1, 2, 8])
def test_limit_holds_during_a_sudden_burst_through_195_vms(usual, seed):
    limit = 1.6 * usual
    fleet = quota_fleet.QuotaFleet(195, limit, seed)
    decisions = fleet.run(
        lambda at_s: usual if at_s < 8 else 8 * usual, seconds=14
    )
    assert quota_fleet.worst_window(decisions) <= quota_fleet.allowed(limit)


@pytest.mark.parametrize("vms", [27, 195])
@pytest.mark.parametrize("usual", [12.0, 60.0])
@pytest.mark.parametrize("seed", range(2))
def test_lost_heartbeats_do_not_cost_an_organisation_its_rate(vms, usual, seed):
    limit = 1.6 * usual
    fleet = quota_fleet.QuotaFleet(vms, limit, seed)
    decisions = fleet.run(
        lambda _: 4.3 * usual, seconds=20, unheard=(8.0, 12.0)
    )
    assert quota_fleet.admitted(decisions, 8, 20) >= 0.8 * limit * 12
    assert quota_fleet.worst_window(decisions) <= quota_fleet.allowed(limit)


def test_callers_that_send_several_requests_at_once_are_served_below_the_rate():
    served = {}
    for usual in (12.0, 60.0, 110.0):
        fleet = quota_fleet.QuotaFleet(195, 1.6 * usual, seed=0)
        decisions = fleet.run(lambda _, rate=usual: rate, 14, at_once=3)
        served[usual] = quota_fleet.share_admitted(decisions, 6, 14)
    assert min(served.values()) >= 0.75, served

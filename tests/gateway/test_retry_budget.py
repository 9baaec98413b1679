"""Retry budget shared by many VMs, on simulated time."""

import random

import pytest

from bramleyworks.gateway import retry_budget

RATIO = 0.2
WINDOW_S = 10.0


@pytest.mark.parametrize("vms", [1, 11, 195, 1000])
@pytest.mark.parametrize("slack", [0.0, 40.0, 430.0])
def test_many_vms_together_use_the_retries_they_may(vms, slack):
    rng = random.Random(vms)
    random.seed(vms)
    now = [0.0]
    budgets = [
        retry_budget.RetryBudget(RATIO, slack, WINDOW_S, lambda: now[0])
        for _ in range(vms)
    ]
    retries = []
    requests = []
    while now[0] < 60.0:
        now[0] += rng.expovariate(60.0)
        budget = rng.choice(budgets)
        budget.record_request("desk")
        requests.append(now[0])
        if budget.try_retry("desk", vms):
            retries.append(now[0])
    for end_s in range(20, 61, 5):
        window = [at for at in retries if end_s - WINDOW_S < at <= end_s]
        asked = [at for at in requests if end_s - WINDOW_S < at <= end_s]
        may = min(RATIO * len(asked) + slack, len(asked))
        assert may / 4 <= len(window) <= may

"""Guards against a canary analysis that passes bad or aborts good versions.

Simulated moves with fixed seeds run until the verdict.
"""

import pytest

from bramleyworks_lab import move_model

SMALL = move_model.TrafficSize(
    vms=3, evaluating_vms=2, rate_per_s=150.0, length_s=120.0
)


@pytest.mark.parametrize("name", ["good, old 0.1%", "good, old 1%"])
def test_moves_to_good_versions_finish(name):
    scenario = next(s for s in move_model.SCENARIOS if s.name == name)
    for seed in range(2):
        assert move_model.simulate(scenario, SMALL, seed).verdict == "done"


@pytest.mark.parametrize("name", ["50% at once", "50% under load"])
def test_bad_versions_receive_at_most_two_percent_of_a_route(name):
    scenario = next(s for s in move_model.SCENARIOS if s.name == name)
    for seed in range(5):
        outcome = move_model.simulate(scenario, SMALL, seed)
        assert outcome.verdict == "undone"
        assert outcome.share <= 0.02
        assert outcome.late_requests == 0

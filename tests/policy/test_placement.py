"""Choice of an upstream by expected latency."""

import dataclasses

from bramleyworks.policy import placement

DEMAND = placement.Demand(
    cold_work_s=0.24,
    warm_work_s=0.07,
    objective_s=0.25,
    remaining_s=1.0,
    slack_fraction=1.0,
)


def candidate(name, load=0.0, rtt_s=0.002, is_warm=False, **fields):
    values = {
        "slots": 5,
        "slowness": 1.0,
        "is_home": is_warm,
    } | fields
    return placement.Candidate(
        id=name, load=load, rtt_s=rtt_s, is_warm=is_warm, **values
    )


def test_holder_with_a_short_queue_beats_an_idle_upstream():
    chosen = placement.choose(
        [candidate("idle"), candidate("holder", load=8, is_warm=True)], DEMAND
    )
    assert chosen.id == "holder"
    assert 0 < chosen.wait_s < 0.1


def test_idle_upstream_takes_what_would_queue_too_long():
    chosen = placement.choose(
        [candidate("idle"), candidate("holder", load=30, is_warm=True)], DEMAND
    )
    assert chosen.id == "idle"


def test_busy_upstream_gets_no_object_that_it_does_not_hold():
    chosen = placement.choose(
        [
            candidate("busy", load=4),
            candidate("holder", load=30, is_warm=True),
        ],
        DEMAND,
    )
    assert chosen.id is None
    assert chosen.wait_s > 0


def test_nothing_is_sent_that_can_not_end_in_time():
    late = dataclasses.replace(DEMAND, remaining_s=0.05)
    chosen = placement.choose([candidate("a", is_warm=True)], late)
    assert chosen.id is None
    assert chosen.expected_s > 0.05


def test_lower_rank_gives_way_first():
    loaded = [candidate("a", load=14, is_warm=True)]
    patient = placement.choose(loaded, DEMAND)
    hasty = placement.choose(
        loaded, dataclasses.replace(DEMAND, slack_fraction=0.5)
    )
    assert patient.id == "a"
    assert hasty.id is None


def test_object_moves_to_an_upstream_that_it_belongs_to():
    chosen = placement.choose(
        [
            candidate("old", is_warm=True, is_home=False),
            candidate("joined", is_warm=True, is_home=True),
        ],
        DEMAND,
    )
    assert chosen.id == "joined"


def test_slow_upstream_is_passed_over():
    chosen = placement.choose(
        [
            candidate("slow", is_warm=True, slowness=5.0),
            candidate("other", is_warm=True, is_home=False),
        ],
        DEMAND,
    )
    assert chosen.id == "other"


def test_no_candidates():
    assert placement.choose([], DEMAND) == placement.NO_CHOICE

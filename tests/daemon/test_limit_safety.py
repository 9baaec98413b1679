"""Guards against admitting more than burst + rate * window over all VMs.

The tasks run under injected faults: messages and store responses are lost,
duplicated, delayed and reordered; VMs are paused, restarted, removed and
isolated; limits change. One global token bucket counts every admitted request.
"""

import random

import hypothesis
import pytest
from hypothesis import strategies
from support import limit_model

INDEXES = range(8)
FLAGS = (False, True)
TIMES_S = (0.0, 0.02, 0.3, 0.6, 0.97, 1.005, 1.3, 2.5, 5.0, 12.0)
# By kind of event: its weight in random histories and the values of its
# arguments.
EVENTS = {
    "advance": (30, TIMES_S, ("once", "twice", "not")),
    "take": (25, INDEXES),
    "drain": (12,),
    "message": (15, ("deliver", "deliver", "repeat", "drop"), INDEXES),
    "pause": (2, INDEXES),
    "resume": (6, INDEXES),
    "restart": (2, INDEXES, FLAGS),
    "isolate": (2, INDEXES),
    "lose": (3, INDEXES),
    "heal": (4,),
    "unlist": (2, INDEXES),
    "list": (4,),
    "join": (1,),
    "fault": (4, ("reply", "request", "late")),
    "land": (3,),
    "cut_store": (1, INDEXES),
    "configure": (3, (5.0, 20.0, 60.0), (4.0, 12.0, 30.0), FLAGS),
}


def apply(model, event):
    """Applies one event to the model."""
    kind, *args = event
    if kind == "advance":
        model.advance(args[0], deliver=args[1])
    elif kind == "drain":
        model.take_all_tokens()
    elif kind == "take":
        model.take_all_tokens([model.node(args[0])])
    elif kind == "message":
        model.process_message(*args)
    elif kind == "pause":
        model.pause(model.node(args[0]))
    elif kind == "resume":
        model.resume(model.node(args[0]))
    elif kind == "restart":
        model.restart(model.node(args[0]), zombie=args[1])
    elif kind == "isolate":
        model.isolated.add(model.node(args[0]).name)
    elif kind == "lose":
        model.disconnect(model.node(args[0]))
    elif kind == "heal":
        model.isolated.clear()
        for node in model.nodes.values():
            node.store.is_cut_off = False
    elif kind == "unlist":
        model.listed.discard(model.node(args[0]).name)
    elif kind == "list":
        model.listed.update(model.nodes)
    elif kind == "join":
        if len(model.nodes) < 5:
            model.start(f"vm{len(model.nodes)}")
    elif kind == "fault":
        model.store.faults.append(args[0])
    elif kind == "land":
        model.store.apply_late_write()
    elif kind == "cut_store":
        model.node(args[0]).store.is_cut_off = True
    else:
        rate_per_s, burst, everywhere = args
        model.configure(
            rate_per_s, burst, None if everywhere else [model.node(0)]
        )


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.tuples(
                strategies.just(kind), *map(strategies.sampled_from, args)
            )
            for kind, (_, *args) in EVENTS.items()
        ),
        max_size=30,
    )
)
def test_any_history_stays_within_the_global_bucket(events):
    model = limit_model.Model()
    model.advance(3.0)
    for event in events:
        apply(model, event)
    model.take_all_tokens()
    model.advance(1.005)
    model.take_all_tokens()


def random_event(rng):
    """Returns a random event."""
    weights = [weight for weight, *_ in EVENTS.values()]
    kind = rng.choices(tuple(EVENTS), weights)[0]
    return (kind, *map(rng.choice, EVENTS[kind][1:]))


@pytest.mark.parametrize("seed", range(24))
def test_long_random_histories_stay_within_the_global_bucket(seed):
    rng = random.Random(seed)
    model = limit_model.Model()
    for _ in range(400):
        apply(model, random_event(rng))
    assert model.admitted > 100

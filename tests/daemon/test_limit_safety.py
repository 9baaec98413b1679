"""Guards against admitting more than burst + rate * window over all VMs.

The tasks run under an adversary that loses, repeats, delays and reorders
messages and store replies, pauses, restarts, removes and isolates VMs, and
changes the limits. Every admitted request is counted by one global bucket.
"""

import random

import hypothesis
import pytest
from hypothesis import strategies
from support import limit_model

TIMES_S = (0.0, 0.02, 0.3, 0.6, 0.97, 1.005, 1.3, 2.5, 5.0, 12.0)
DELIVERIES = ("once", "twice", "not")
INDEX = strategies.integers(0, 7)
EVENTS = strategies.one_of(
    strategies.tuples(
        strategies.just("advance"),
        strategies.sampled_from(TIMES_S),
        strategies.sampled_from(DELIVERIES),
    ),
    strategies.tuples(strategies.just("drain")),
    strategies.tuples(strategies.just("take"), INDEX),
    strategies.tuples(
        strategies.just("message"),
        strategies.sampled_from(("deliver", "repeat", "drop")),
        INDEX,
    ),
    strategies.tuples(strategies.just("pause"), INDEX),
    strategies.tuples(strategies.just("resume"), INDEX),
    strategies.tuples(strategies.just("restart"), INDEX, strategies.booleans()),
    strategies.tuples(strategies.just("isolate"), INDEX),
    strategies.tuples(strategies.just("lose"), INDEX),
    strategies.tuples(strategies.just("heal")),
    strategies.tuples(strategies.just("unlist"), INDEX),
    strategies.tuples(strategies.just("list")),
    strategies.tuples(strategies.just("join")),
    strategies.tuples(
        strategies.just("fault"),
        strategies.sampled_from(("reply", "request", "late")),
    ),
    strategies.tuples(strategies.just("land")),
    strategies.tuples(strategies.just("cut_store"), INDEX),
    strategies.tuples(
        strategies.just("configure"),
        strategies.sampled_from((5.0, 20.0, 60.0)),
        strategies.sampled_from((4.0, 12.0, 30.0)),
        strategies.booleans(),
    ),
)


def apply(model, event):
    """Applies one event to the model."""
    kind, *args = event
    if kind == "advance":
        model.advance(args[0], deliver=args[1])
    elif kind == "drain":
        model.drain()
    elif kind == "take":
        model.drain([model.node(args[0])])
    elif kind == "message":
        model.message(*args)
    elif kind == "pause":
        model.pause(model.node(args[0]))
    elif kind == "resume":
        model.resume(model.node(args[0]))
    elif kind == "restart":
        model.restart(model.node(args[0]), zombie=args[1])
    elif kind == "isolate":
        model.isolated.add(model.node(args[0]).name)
    elif kind == "lose":
        model.lose(model.node(args[0]))
    elif kind == "heal":
        model.isolated.clear()
        for node in model.nodes.values():
            node.store.cut = False
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
        model.store.land()
    elif kind == "cut_store":
        model.node(args[0]).store.cut = True
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
@hypothesis.given(strategies.lists(EVENTS, max_size=30))
def test_any_events_stay_within_the_global_bucket(events):
    model = limit_model.Model()
    model.advance(3.0)
    for event in events:
        apply(model, event)
    model.drain()
    model.advance(1.005)
    model.drain()


def random_event(rng):
    """Returns one event; skewed traffic and time are the most frequent."""
    kind = rng.choices(
        (
            "advance take drain message pause resume restart isolate lose "
            "heal unlist list join fault land cut_store configure"
        ).split(),
        (30, 25, 12, 15, 2, 6, 2, 2, 3, 4, 2, 4, 1, 4, 3, 1, 3),
    )[0]
    index = rng.randrange(8)
    args = {
        "advance": lambda: (rng.choice(TIMES_S), rng.choice(DELIVERIES)),
        "message": lambda: (
            rng.choice(("deliver", "deliver", "repeat", "drop")),
            index,
        ),
        "restart": lambda: (index, rng.random() < 0.5),
        "fault": lambda: (rng.choice(("reply", "request", "late")),),
        "configure": lambda: (
            rng.choice((5.0, 20.0, 60.0)),
            rng.choice((4.0, 12.0, 30.0)),
            rng.random() < 0.5,
        ),
    }
    if kind in args:
        return (kind, *args[kind]())
    if kind in ("drain", "heal", "list", "join", "land"):
        return (kind,)
    return (kind, index)


@pytest.mark.parametrize("seed", range(24))
def test_long_random_histories_stay_within_the_global_bucket(seed):
    rng = random.Random(seed)
    model = limit_model.Model()
    for _ in range(400):
        apply(model, random_event(rng))
    assert model.admitted > 100

"""Choice of an upstream by the latency to expect from it.

An upstream runs as many requests as it has slots and queues the others. A
request is sent only where it can be expected to end in time, because a queue
at an upstream delays every request behind it: at twice the capacity, requests
that all wait earn less than half of them served at once.
"""

import dataclasses
from collections.abc import Iterable

# Part of its slots up to which an upstream may take requests about objects
# that it does not hold. They cost several times the work and push out objects
# that it does hold, so a busy one must not get them.
MAX_COLD_UTILISATION = 0.6
# Part of the work that a held object saves by which an upstream has to be
# better than the one that the object belongs to. Without it, objects would
# never move to upstreams that have just joined.
NON_HOME_PENALTY = 0.5
# Wait that a request may have, as a part of its work, when its objective can
# not be met anyway; keeps slots busy without building a queue.
MISSED_OBJECTIVE_WAIT = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may get a request.

    Attributes:
        id: Identity of the upstream.
        load: Requests that it runs or queues, by the best estimate.
        slots: Requests that it runs at the same time.
        rtt_s: Network round trip to it.
        slowness: Its latency relative to other upstreams of the service.
        is_warm: Whether it is likely to hold the request's object.
        is_home: Whether the object belongs there by hash.
    """

    id: str
    load: float
    slots: int
    rtt_s: float
    slowness: float
    is_warm: bool
    is_home: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The upstream for a request, or how long to wait for one.

    Attributes:
        id: Identity of the upstream, None if no upstream should get it now.
        expected_s: Latency to expect from the best upstream.
        wait_s: Part of it spent in the upstream's queue.
        work_s: Part of it spent on the request.
        is_warm: Whether it is likely to hold the request's object.
    """

    id: str | None
    expected_s: float
    wait_s: float
    work_s: float
    is_warm: bool = False


NO_CHOICE = Choice(None, 0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs.

    Attributes:
        cold_work_s: Time that an upstream works on it without its object at
            hand.
        warm_work_s: The same on an upstream that holds its object.
        objective_s: Time left of the latency objective.
        remaining_s: Time left before the answer is useless.
        slack_fraction: Part of the objective's slack that may be spent in a
            queue; the rest is kept for requests of higher rank.
    """

    cold_work_s: float
    warm_work_s: float
    objective_s: float
    remaining_s: float
    slack_fraction: float


def choose(candidates: Iterable[Candidate], demand: Demand) -> Choice:
    """Returns the upstream from which the answer is expected first.

    The request is refused where its answer would come too late, or where it
    would have to queue for longer than its patience.
    """
    best: tuple[float, float, float, Candidate] | None = None
    best_key = 0.0
    away_s = NON_HOME_PENALTY * (demand.cold_work_s - demand.warm_work_s)
    for candidate in candidates:
        if (
            not candidate.is_warm
            and candidate.load + 1 > MAX_COLD_UTILISATION * candidate.slots
        ):
            continue
        work_s = candidate.slowness * (
            demand.warm_work_s if candidate.is_warm else demand.cold_work_s
        )
        # Those ahead in the queue are mostly warm.
        wait_s = expected_wait_s(
            candidate.load,
            candidate.slots,
            candidate.slowness * demand.warm_work_s,
        )
        total_s = candidate.rtt_s + wait_s + work_s
        key = total_s if candidate.is_home else total_s + away_s
        if best is None or key < best_key:
            best = (total_s, wait_s, work_s, candidate)
            best_key = key
    if best is None:
        return NO_CHOICE
    total_s, wait_s, work_s, candidate = best
    if total_s > demand.remaining_s:
        return Choice(None, total_s, wait_s, work_s)
    slack_s = demand.objective_s - candidate.rtt_s - work_s
    allowed_s = max(
        slack_s * demand.slack_fraction, MISSED_OBJECTIVE_WAIT * work_s
    )
    if wait_s > allowed_s and candidate.load >= candidate.slots:
        return Choice(None, total_s, wait_s, work_s)
    return Choice(candidate.id, total_s, wait_s, work_s, candidate.is_warm)


def expected_wait_s(load: float, slots: int, work_s: float) -> float:
    """Returns the time until a slot is free.

    Args:
        load: Requests at the upstream before this one.
        slots: Requests that it runs at the same time.
        work_s: Time that it works on one.
    """
    if load + 1 <= slots:
        return 0.0
    return (load + 1 - slots) / slots * work_s

"""Selection of an upstream by expected latency.

An upstream runs as many requests as it has slots and queues the others. A
request is sent only to an upstream that is expected to complete it in time,
because a queued request delays every request behind it: at twice the capacity,
queueing all requests is worth less than serving half of them at once.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from bramleyworks.policy import load_shedding
from bramleyworks.policy import work_factor

# Fraction of an upstream's slots up to which it may take requests for objects
# that it does not cache. They cost several times the work and evict objects
# that it does cache, so a busy upstream must not get them.
MAX_COLD_UTILISATION = 0.6
# Fraction of the work saved by a cached object by which another upstream has to
# be better than the object's home. Without it, objects would never move to
# upstreams that have just joined.
NON_HOME_PENALTY = 0.5
# Utilisation of the upstreams up to which an idle one takes a request whose
# best upstream has no room. In a busy service the full work costs other
# requests their slots; without a limit fewer of all were served in time.
MAX_SPARE_UTILISATION = 0.5
# Difference of expected latencies, relative to the best one, that is taken for
# an error of measurement. The upstream with most free slots is chosen then;
# otherwise all requests without an object go to the one that looks fastest.
EQUAL_RATIO = 0.05
# Wait allowed to a request, as a fraction of its work, when its objective can
# not be met anyway; keeps slots busy without building up a queue.
MISSED_OBJECTIVE_WAIT = 0.3
# Upstreams that are not known to hold a request's object of which a VM looks at
# one choice, where many VMs share fresh figures. If each VM compared all, all
# would send to the one that looks best. Of 20 upstreams, one VM in five looks
# at the best one; with 15% of the machines busy, all four are busy in 0.05% of
# choices.
SAMPLE_SIZE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that a request may be sent to.

    Attributes:
        id: Identity of the upstream.
        load: Estimated number of requests that it runs or queues.
        slots: Number of requests that it runs concurrently.
        rtt_s: Network round-trip time to it in seconds.
        slowness: Its latency relative to other upstreams of the service.
        is_warm: Whether it is likely to have the request's object in its
            cache.
        is_home: Whether the object is assigned to it by rendezvous hashing.
        work_factor: How long work takes on its machine as last reported,
            relative to the usual time.
        factor_age_s: Age of that report in seconds.
    """

    id: str
    load: float
    slots: int
    rtt_s: float
    slowness: float
    is_warm: bool
    is_home: bool
    work_factor: float = work_factor.USUAL
    factor_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The upstream for a request, or the latency that was too high.

    Attributes:
        id: Identity of the upstream, None if none should get the request now.
        expected_s: Expected latency of the best upstream in seconds.
        wait_s: Part of ``expected_s`` spent in the upstream's queue.
        work_s: Part of ``expected_s`` spent on the request itself.
        is_warm: Whether the upstream is likely to have the request's object in
            its cache.
        room_per_s: Requests per second for which rate limits leave room;
            infinity if something else than these is in the way.
        work_factor: Factor of its machine that ``work_s`` contains.
        permitted_s: Wait that is permitted to the request.
        rank: Rank of the request, None without pressure on the service.
    """

    id: str | None
    expected_s: float
    wait_s: float
    work_s: float
    is_warm: bool = False
    room_per_s: float = math.inf
    work_factor: float = work_factor.USUAL
    permitted_s: float = 0.0
    rank: int | None = None


NO_CHOICE = Choice(None, 0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Work and latency limits of a request; times are in seconds.

    Attributes:
        cold_work_s: Work on an upstream that does not have its object cached.
        warm_work_s: Work on an upstream that has its object cached.
        objective_s: Time left to meet the latency objective.
        remaining_s: Time left until the response is useless.
        slack_fraction: Fraction of the objective's slack that may be spent in
            a queue; the rest is reserved for requests of higher priority.
        rule: What decides about the permitted wait under pressure, None without
            pressure.
    """

    cold_work_s: float
    warm_work_s: float
    objective_s: float
    remaining_s: float
    slack_fraction: float
    rule: load_shedding.AdmissionRule | None = None


def choose(
    candidates: Iterable[Candidate],
    demand: Demand,
    rng: random.Random | None = None,
) -> Choice:
    """Returns the upstream with the lowest expected latency.

    No upstream is chosen if the response would come too late, or if the
    request would have to queue for longer than its slack allows.

    Args:
        candidates: Upstreams that the request may be sent to.
        demand: Work and latency limits of the request.
        rng: Chooses which upstreams are compared first and in which order, so
            that VMs with the same figures choose different ones; None if all
            are compared in the given order.
    """
    found = list(candidates)
    if rng is None:
        choice = _choose_best(found, demand)
    else:
        choice = _choose_best(_sample(found, rng), demand)
        if choice.id is None and len(found) > SAMPLE_SIZE:
            found = rng.sample(found, len(found))
            choice = _choose_best(found, demand)
    if choice.id is not None or choice.wait_s <= 0.0 or _is_busy(found):
        return choice
    # The best one is often the holder of the object, whose queue is too long.
    idle = _choose_best((c for c in found if c.load + 1 <= c.slots), demand)
    return choice if idle.id is None else idle


def _is_busy(candidates: list[Candidate]) -> bool:
    """Returns whether upstreams have too little room for uncached objects."""
    used = sum(min(c.load, c.slots) for c in candidates)
    return used > MAX_SPARE_UTILISATION * sum(c.slots for c in candidates)


def _sample(candidates: list[Candidate], rng: random.Random) -> list[Candidate]:
    """Returns some candidates, with all that hold the request's object."""
    holders = [c for c in candidates if c.is_warm]
    others = [c for c in candidates if not c.is_warm]
    if not others:
        # The request has no object.
        holders, others = [], holders
    return holders + rng.sample(others, min(SAMPLE_SIZE, len(others)))


def _choose_best(candidates: Iterable[Candidate], demand: Demand) -> Choice:
    # Key and utilisation, by which the best one is chosen, then its figures.
    found: list[tuple[float, float, float, float, float, float, Candidate]] = []
    rule = demand.rule
    non_home_penalty_s = NON_HOME_PENALTY * (
        demand.cold_work_s - demand.warm_work_s
    )
    for candidate in candidates:
        if not candidate.is_warm and (
            candidate.load + 1 > MAX_COLD_UTILISATION * candidate.slots
            or (rule is not None and candidate.load >= 1.0)
        ):
            continue
        arrival_age_s = candidate.factor_age_s + candidate.rtt_s / 2
        # Most requests ahead in the queue find their objects in the cache.
        wait_s = expected_wait_s(
            candidate.load,
            candidate.slots,
            candidate.slowness
            * work_factor.expected(candidate.work_factor, arrival_age_s)
            * demand.warm_work_s,
        )
        factor = work_factor.expected(
            candidate.work_factor, arrival_age_s + wait_s
        )
        work_s = (
            candidate.slowness
            * factor
            * (demand.warm_work_s if candidate.is_warm else demand.cold_work_s)
        )
        total_s = candidate.rtt_s + wait_s + work_s
        if (
            rule is not None
            and not candidate.is_warm
            and not rule.permits_full_work(demand.objective_s - total_s)
        ):
            continue
        key = total_s if candidate.is_home else total_s + non_home_penalty_s
        utilisation = candidate.load / candidate.slots
        found.append(
            (key, utilisation, total_s, wait_s, work_s, factor, candidate)
        )
    if not found:
        return NO_CHOICE
    max_key = (1.0 + EQUAL_RATIO) * min(key for key, *_ in found)
    _, _, total_s, wait_s, work_s, factor, candidate = min(
        (f for f in found if f[0] <= max_key), key=lambda f: (f[1], f[0])
    )
    if total_s > demand.remaining_s:
        return Choice(None, total_s, wait_s, work_s)
    slack_s = demand.objective_s - candidate.rtt_s - work_s
    allowed_s = max(
        slack_s * demand.slack_fraction, MISSED_OBJECTIVE_WAIT * work_s
    )
    rank = None
    reserved = 0
    if demand.rule is not None:
        rank = demand.rule.rank(slack_s, work_s, wait_s)
        allowed_s = demand.rule.permitted_wait_s(
            allowed_s, slack_s, work_s, wait_s
        )
        reserved = demand.rule.reserved_slots(slack_s, work_s, wait_s)
    reserved = min(reserved, candidate.slots - 1)
    is_refused = (wait_s > allowed_s and candidate.load >= candidate.slots) or (
        reserved > 0 and candidate.load + 1 > candidate.slots - reserved
    )
    return Choice(
        None if is_refused else candidate.id,
        total_s,
        wait_s,
        work_s,
        not is_refused and candidate.is_warm,
        permitted_s=allowed_s,
        work_factor=factor,
        rank=rank,
    )


def expected_wait_s(load: float, slots: int, work_s: float) -> float:
    """Returns the expected time in seconds until a slot is free.

    Args:
        load: Number of requests at the upstream before this one.
        slots: Number of requests that it runs concurrently.
        work_s: Time in seconds that it works on a request.
    """
    if load + 1 <= slots:
        return 0.0
    return (load + 1 - slots) / slots * work_s

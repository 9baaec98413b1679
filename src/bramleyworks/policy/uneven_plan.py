"""Shares of a region's requests where slots and callers are spread unevenly.

Upstreams of a region with few slots own more objects than they can hold, and
most of its requests cost the full work. Requests then leave the region as whole
objects, until those that stay fit into its upstreams. The measured latency
shows how many do, since the size of the caches is not known.
"""

import dataclasses
from collections.abc import Collection
from collections.abc import Mapping

from bramleyworks.policy import region_plan

# A region is short of slots if it has less than this fraction of the mean slots
# per VM. A region that is short stays so up to the second fraction, since the
# number of usable upstreams varies.
SHORT_RATIO = 0.6
NO_LONGER_SHORT_RATIO = 0.7
# Fraction of the slots of a short region that its own requests may fill while
# other regions have room. Above it, single upstreams are full for moments.
SHORT_UTILISATION = 0.5
# Fraction of the objective by which local service has to be slower than the
# best other region before requests leave.
SLOWER_MARGIN = 0.1
# Change of the local share per second when local service is slower, or faster,
# by a whole objective. With it, a region that misses most objectives moves at
# the largest step, and shares settle without overshoot in the model of
# tests/policy/test_uneven_regions.py.
GAIN_PER_S = 0.075
# The local share stays above this unless the region has no slots, so that local
# service is measured.
MIN_LOCAL_SHARE = 0.05
# Difference between the latencies of other regions, as a fraction of the
# objective, at which the slower one gets no part of the overflow.
MAX_LATENCY_GAP = 1.0
# Fraction of its slots that a region has to have free to get its full part of
# the overflow. Parts that follow the room at any time would change with the
# demand of every region, and use up the limit on shifts.
FULL_PART_ROOM = 0.3
NEGLIGIBLE_SLOTS = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What is known of a region for one service.

    Attributes:
        slots: Usable slots.
        demand: Slots that its callers' requests would keep busy there.
        latency_s: Mean latency in seconds of the requests that ran there, with
            the round trip from the region whose requests are distributed.
        local_share: Fraction of its callers' requests that run there, 1 if it
            is not known.
    """

    slots: float
    demand: float
    latency_s: float
    local_share: float = 1.0


def short_regions(
    slots: Mapping[str, float],
    vms: Mapping[str, int],
    known: Collection[str] = (),
) -> frozenset[str]:
    """Returns the regions that are short of slots for their callers.

    Regions without VMs have no callers and do not count.

    Args:
        slots: Usable slots by region.
        vms: Number of VMs by region.
        known: Regions that were short before.
    """
    total_vms = sum(vms.values())
    total_slots = sum(slots.get(name, 0.0) for name in vms)
    if total_vms <= 0 or total_slots <= NEGLIGIBLE_SLOTS:
        return frozenset()
    mean = total_slots / total_vms
    return frozenset(
        name
        for name, count in vms.items()
        if count > 0
        and slots.get(name, 0.0) / count
        < mean * (NO_LONGER_SHORT_RATIO if name in known else SHORT_RATIO)
    )


def plan(
    region: str,
    figures: Mapping[str, Figures],
    short: Collection[str],
    objective_s: float,
    local_share: float | None,
    elapsed_s: float,
) -> dict[str, float]:
    """Returns the fraction of a region's requests to send to each region.

    Args:
        region: Region whose requests are distributed.
        figures: What is known of each region.
        short: Regions that are short of slots.
        objective_s: Latency objective of the requests.
        local_share: Fraction of the requests that stay now, None at the start.
        elapsed_s: Time since the share was last changed in seconds.

    Returns:
        Shares by region that add up to 1; empty without any slots.
    """
    usable = {
        name: known
        for name, known in figures.items()
        if known.slots > NEGLIGIBLE_SLOTS
    }
    others = {name: known for name, known in usable.items() if name != region}
    if not others:
        return {region: 1.0} if region in usable else {}
    local = 0.0
    if region in usable:
        bound = _slot_bound(usable[region], figures, region in short)
        local = bound
        if local_share is not None:
            excess = (
                usable[region].latency_s
                - min(known.latency_s for known in others.values())
            ) / objective_s - SLOWER_MARGIN
            local = min(bound, local_share - GAIN_PER_S * elapsed_s * excess)
        local = min(1.0, max(local, min(bound, MIN_LOCAL_SHARE)))
    shares = {region: local}
    weights = _overflow_weights(others, objective_s)
    total = sum(weights.values())
    for name, weight in weights.items():
        shares[name] = (1.0 - local) * weight / total
    return {name: share for name, share in shares.items() if share > 0.0}


def _slot_bound(
    own: Figures, figures: Mapping[str, Figures], is_short: bool
) -> float:
    """Returns the largest local share for which the region has slots.

    Where all regions together need more than the local target, each fills the
    same fraction of its slots.
    """
    if own.demand <= NEGLIGIBLE_SLOTS:
        return 1.0
    target = SHORT_UTILISATION if is_short else region_plan.TARGET_UTILISATION
    needed = sum(known.demand for known in figures.values()) / sum(
        known.slots for known in figures.values()
    )
    utilisation = min(region_plan.TARGET_UTILISATION, max(target, needed))
    return min(1.0, utilisation * own.slots / own.demand)


def _overflow_weights(
    others: Mapping[str, Figures], objective_s: float
) -> dict[str, float]:
    """Returns by region the weight with which it gets the overflow.

    It follows the slots, less if its own requests leave little room or it
    responds later than the best of the regions. All slots count if no region
    has room.
    """
    best_s = min(known.latency_s for known in others.values())
    weights = {}
    for name, known in others.items():
        room = region_plan.TARGET_UTILISATION * known.slots - (
            known.demand * known.local_share
        )
        gap = (known.latency_s - best_s) / objective_s / MAX_LATENCY_GAP
        part = min(1.0, max(0.0, room / known.slots / FULL_PART_ROOM))
        weights[name] = known.slots * part * max(0.0, 1.0 - gap)
    if sum(weights.values()) <= NEGLIGIBLE_SLOTS:
        return {name: known.slots for name, known in others.items()}
    return weights

"""Distribution of a region's requests over regions with capacity."""

from collections.abc import Mapping

# Fraction of a region's slots that requests may fill before they overflow to
# other regions; the rest absorbs bursts.
TARGET_UTILISATION = 0.9
# Window over which shifts between regions are limited.
SHIFT_WINDOW_S = 2.0
# Fraction of the limit on shifts that planned shares use; the rest is a margin
# for random variation within one window.
SHIFT_FRACTION = 0.5
# Demand in slots below which a region counts as having none.
NEGLIGIBLE_DEMAND = 1e-9


def plan(
    region: str,
    demand: Mapping[str, float],
    capacity: Mapping[str, float],
) -> dict[str, float]:
    """Returns the fraction of a region's requests to send to each region.

    Requests stay in the region where they arrive as long as it has capacity,
    and overflow to other regions in proportion to their spare capacity. If the
    total capacity is too low, the same fraction of every region's requests is
    served, and the plan distributes that fraction.

    Args:
        region: Region whose requests are distributed.
        demand: Slots that the requests of each region would occupy.
        capacity: Usable slots of each region.

    Returns:
        Shares by region that add up to 1; empty without any capacity.
    """
    usable = {
        name: TARGET_UTILISATION * slots for name, slots in capacity.items()
    }
    total_usable = sum(usable.values())
    if total_usable <= 0.0:
        return {}
    wanted = {name: demand.get(name, 0.0) for name in {*demand, *capacity}}
    total = sum(wanted.values())
    served = min(1.0, total_usable / total) if total > 0.0 else 1.0
    local = {
        name: min(usable.get(name, 0.0), served * need)
        for name, need in wanted.items()
    }
    need = served * wanted.get(region, 0.0)
    if need <= NEGLIGIBLE_DEMAND:
        if usable.get(region, 0.0) > 0.0:
            return {region: 1.0}
        return {
            name: slots / total_usable
            for name, slots in usable.items()
            if slots > 0.0
        }
    spare = {
        name: max(0.0, slots - local.get(name, 0.0))
        for name, slots in usable.items()
        if name != region
    }
    total_spare = sum(spare.values())
    overflow = need - local.get(region, 0.0)
    if overflow <= NEGLIGIBLE_DEMAND or total_spare <= 0.0:
        return {region: 1.0}
    shares = {region: local.get(region, 0.0) / need}
    for name, slots in spare.items():
        if slots > 0.0:
            shares[name] = overflow / need * slots / total_spare
    return {name: share for name, share in shares.items() if share > 0.0}


def ramp(
    current: Mapping[str, float], target: Mapping[str, float], step: float
) -> dict[str, float]:
    """Moves shares toward a target.

    Args:
        current: Current share of each region.
        target: Target share of each region.
        step: Maximum fraction of the requests that changes region.
    """
    if not current:
        return dict(target)
    names = {*current, *target}
    moved = sum(
        max(0.0, target.get(n, 0.0) - current.get(n, 0.0)) for n in names
    )
    if moved <= step:
        return dict(target)
    fraction = step / moved
    shares = {
        n: current.get(n, 0.0)
        + fraction * (target.get(n, 0.0) - current.get(n, 0.0))
        for n in names
    }
    return {name: share for name, share in shares.items() if share > 1e-6}

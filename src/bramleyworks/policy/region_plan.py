"""Distribution of a region's requests over the regions that can take them."""

from collections.abc import Mapping

# Part of a region's slots that its own requests may fill before they go
# elsewhere; the rest absorbs bursts.
TARGET_UTILISATION = 0.9


def plan(
    region: str,
    demand: Mapping[str, float],
    capacity: Mapping[str, float],
) -> dict[str, float]:
    """Returns the part of a region's requests that goes to each region.

    Requests stay where they arrive as long as there is room, and overflow to
    other regions in proportion to the room there. When there is too little
    room altogether, every region is served the same part of its requests, and
    the plan tells where that part runs.

    Args:
        region: Region whose requests are to be distributed.
        demand: Slots that each region's requests would fill.
        capacity: Usable slots of each region.

    Returns:
        Shares that add up to 1; empty without any capacity.
    """
    room = {
        name: TARGET_UTILISATION * slots for name, slots in capacity.items()
    }
    total_room = sum(room.values())
    if total_room <= 0.0:
        return {}
    wanted = {name: demand.get(name, 0.0) for name in {*demand, *capacity}}
    total = sum(wanted.values())
    served = min(1.0, total_room / total) if total > 0.0 else 1.0
    local = {
        name: min(room.get(name, 0.0), served * need)
        for name, need in wanted.items()
    }
    need = served * wanted.get(region, 0.0)
    if need <= 0.0:
        if room.get(region, 0.0) > 0.0:
            return {region: 1.0}
        return {
            name: slots / total_room
            for name, slots in room.items()
            if slots > 0.0
        }
    spare = {
        name: max(0.0, slots - local.get(name, 0.0))
        for name, slots in room.items()
        if name != region
    }
    total_spare = sum(spare.values())
    missing = need - local.get(region, 0.0)
    if missing <= 1e-9 or total_spare <= 0.0:
        return {region: 1.0}
    shares = {region: local.get(region, 0.0) / need}
    for name, slots in spare.items():
        if slots > 0.0:
            shares[name] = missing / need * slots / total_spare
    return {name: share for name, share in shares.items() if share > 0.0}


def ramp(
    current: Mapping[str, float], target: Mapping[str, float], step: float
) -> dict[str, float]:
    """Moves shares toward a target by at most ``step`` of the requests."""
    if not current:
        return dict(target)
    names = {*current, *target}
    moved = sum(
        max(0.0, target.get(n, 0.0) - current.get(n, 0.0)) for n in names
    )
    if moved <= step:
        return dict(target)
    part = step / moved
    shares = {
        n: current.get(n, 0.0)
        + part * (target.get(n, 0.0) - current.get(n, 0.0))
        for n in names
    }
    return {name: share for name, share in shares.items() if share > 1e-6}

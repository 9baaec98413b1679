"""An organisation and what it may use."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose callers share keys, a rate and a burst.

    Attributes:
        name: Name, passed to upstreams in place of the key.
        keys: Keys that its callers may send.
        priority: Rank that replaces the route's, 0 is the highest; None if the
            route's holds.
        rate_per_s: Requests per second over all VMs, 0 for no limit.
        burst: Requests that may come at once above the rate.
        regions: Regions that may serve it; empty if all may.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    regions: frozenset[str]

"""An organisation, its API keys and its limits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose callers share API keys and a rate limit.

    Attributes:
        name: Name, sent to upstreams instead of the API key.
        keys: API keys of its callers.
        priority: Overrides the route's priority, 0 is the highest; None for no
            override.
        rate_per_s: Requests per second over all VMs, 0 for unlimited.
        burst: Requests above the rate that are admitted at once.
        regions: Regions that may serve it; empty if all may.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    regions: frozenset[str]

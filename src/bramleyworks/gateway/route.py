"""A route and the services that its requests go to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the route's other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A class of requests with the same treatment.

    Attributes:
        name: Name for logs and metrics.
        host: Host header of its requests.
        prefix: Prefix of their path, with a slash at both ends.
        idempotent: Whether a request may run more than once.
        services: Services that its requests are distributed over.
        timeout_s: Longest time a caller is kept waiting.
        attempts: Most upstreams that one request may be sent to.
        objective_s: Latency within which an answer is worth most.
        priority: Rank, 0 is the highest.
        is_public: Whether requests need no key.
        is_sticky: Whether an upstream that served an object is faster at it.
        regions: Regions that may serve it; empty if all may.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    services: tuple[WeightedService, ...]
    timeout_s: float
    attempts: int
    objective_s: float
    priority: int
    is_public: bool
    is_sticky: bool
    regions: frozenset[str]

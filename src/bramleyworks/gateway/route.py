"""A route and the services behind it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route with its share of the requests.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A class of requests with common routing and limits.

    Attributes:
        name: Name in logs and metrics.
        host: Host header to match.
        prefix: Path prefix to match, with a slash at both ends.
        idempotent: Whether a request may run more than once.
        services: Services that its requests are distributed over.
        timeout_s: Maximum time from request to response.
        attempts: Maximum number of upstreams that one request is sent to.
        objective_s: Latency objective.
        priority: Priority, 0 is the highest.
        is_public: Whether requests need no API key.
        is_sticky: Whether upstreams cache objects, so that requests for one
            object should go to the same upstream.
        regions: Regions that may serve it; empty if all may.
        is_upload: Whether requests have large bodies, which are sent once.
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
    is_upload: bool = False

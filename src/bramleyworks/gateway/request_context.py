"""What is known about a request once it is admitted."""

import dataclasses

from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.gateway import route as route_module


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """What is known about a request once it is admitted.

    Attributes:
        route: Its route.
        service: Service that it goes to.
        organisation: Its organisation, None on public routes.
        request_id: Id given by the caller.
        object_key: Object that it is about, empty for none.
        deadline_s: Monotonic time at which its answer is useless.
        client_deadline_s: The same by the caller alone.
        objective_s: Monotonic time by which its answer is worth most.
        regions: Regions that may serve it, empty if all may.
        priority: Its rank.
    """

    route: route_module.Route
    service: str
    organisation: organisation_module.Organisation | None
    request_id: bytes
    object_key: str
    deadline_s: float
    client_deadline_s: float
    objective_s: float
    regions: frozenset[str]
    priority: int

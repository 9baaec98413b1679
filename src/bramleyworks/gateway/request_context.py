"""Properties of an admitted request."""

import dataclasses

from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.gateway import route as route_module


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """Properties of an admitted request.

    Times are monotonic times in seconds.

    Attributes:
        route: Its route.
        service: Service that it is sent to.
        organisation: Its organisation, None on public routes.
        request_id: Id given by the caller.
        object_key: Object that it is about, empty for none.
        deadline_s: Time after which a response is useless.
        client_deadline_s: The deadline given by the caller alone.
        objective_s: Time by which a response has its full value.
        regions: Regions that may serve it, empty if all may.
        priority: Its priority.
        attempts: Upstreams that it may still be sent to.
        is_proxied: Whether another VM passed it on, which has counted it
            against the organisation's rate.
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
    attempts: int
    is_proxied: bool

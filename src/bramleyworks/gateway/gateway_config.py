"""The configuration in force, indexed for the request path."""

import dataclasses
from collections.abc import Mapping

from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import organisation
from bramleyworks.gateway import route as route_module
from bramleyworks.gateway import service


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One version of the operators' configuration.

    Attributes:
        version: Version number; it increases with each change.
        limits: Limits on callers.
        organisations: Organisations by name.
        organisation_by_key: Name of the organisation by API key.
        routes: Routes by host and prefix.
        services: Services by name.
    """

    version: int
    limits: limits_module.Limits
    organisations: Mapping[str, organisation.Organisation]
    organisation_by_key: Mapping[str, str]
    routes: Mapping[str, Mapping[str, route_module.Route]]
    services: Mapping[str, service.Service]


def find_route(
    config: GatewayConfig, host: str, path: str
) -> route_module.Route | None:
    """Returns the route with the longest matching prefix, if any.

    Args:
        config: Configuration to search.
        host: Host header of the request.
        path: Path without the query.
    """
    prefixes = config.routes.get(host)
    if prefixes is None:
        return None
    end = path.rfind("/")
    while end >= 0:
        found = prefixes.get(path[: end + 1])
        if found is not None:
            return found
        end = path.rfind("/", 0, end)
    return None

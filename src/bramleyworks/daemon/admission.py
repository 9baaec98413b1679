"""Admission checks of requests: limits, route and API key."""

import dataclasses

from bramleyworks.daemon import headers
from bramleyworks.daemon import refusal
from bramleyworks.document import organisation
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.policy import routing

MAX_TARGET_BYTES = 8 * 1024


@dataclasses.dataclass(frozen=True)
class Admission:
    """Result of the admission checks of an admitted request.

    Attributes:
        route: Route of the request.
        service: Service of the route.
        organisation: Organisation of the request's key, None on open routes.
        key: The key, which must not be forwarded to the upstream; None if the
            request has none.
        idempotent: Whether the route lists the method as idempotent.
        routing_table: Routes and keys that the request was checked against.
    """

    route: route.Route
    service: service.Service
    organisation: organisation.Organisation | None
    key: bytes | None
    idempotent: bool
    routing_table: routing.RoutingTable

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, empty on open routes."""
        return self.organisation.name if self.organisation else ""


def check(
    table: routing.RoutingTable | None,
    scope: dict,
    is_config_fresh: bool,
    max_header_bytes: int,
) -> Admission | refusal.Refusal:
    """Checks whether a request may run.

    Args:
        table: Routes and keys in force, None before the first configuration.
        scope: The ASGI scope of the request.
        is_config_fresh: Whether the configuration is fresh enough for routes
            that need a key.
        max_header_bytes: Maximum size of all headers in bytes.

    Returns:
        The admission, or the refusal to send to the caller.
    """
    raw = scope["headers"]
    if headers.size_bytes(raw) > max_header_bytes:
        return _refuse(431, "admission.headers", "the headers are too long")
    target_bytes = len(scope["raw_path"]) + len(scope["query_string"])
    if target_bytes > MAX_TARGET_BYTES:
        return _refuse(414, "admission.target", "the target is too long")
    path = scope["path"]
    if not _is_normalised(path):
        return _refuse(400, "admission.path", "the path is not normalised")
    presented = headers.presented_keys(raw)
    if len(presented) > 1:
        return _refuse(400, "admission.key", "more than one key was sent")
    if table is None:
        return _refuse(
            503, "admission.config", "no configuration yet", retry_after_s=1
        )
    matched = table.route(path)
    if matched is None:
        return _refuse(404, "admission.route", "no route for this path")
    key = presented[0] if presented else None
    owner = None
    if matched.access == "key":
        authenticated = _authenticate(table, matched, key, is_config_fresh)
        if isinstance(authenticated, refusal.Refusal):
            return authenticated
        owner = authenticated
    return Admission(
        route=matched,
        service=table.services[matched.service],
        organisation=owner,
        key=key,
        idempotent=scope["method"] in matched.idempotent_methods,
        routing_table=table,
    )


def _authenticate(
    table: routing.RoutingTable,
    matched: route.Route,
    key: bytes | None,
    is_fresh: bool,
) -> organisation.Organisation | refusal.Refusal:
    if not is_fresh:
        return _refuse(
            503,
            "admission.fresh",
            "this VM can not confirm its configuration; use another entry VM",
            retry_after_s=1,
        )
    if not key:
        return _refuse(401, "admission.key", "this route needs a key")
    owner = table.organisation(key)
    if owner is None:
        return _refuse(401, "admission.key", "the key is not valid")
    if not routing.is_allowed(matched, owner.name):
        return _refuse(
            403, "admission.route", "this organisation may not use this route"
        )
    return owner


def _is_normalised(path: str) -> bool:
    """Returns whether a path is normalised.

    An upstream could read another path differently than the daemon does.
    """
    if "//" in path or "\\" in path or not path.startswith("/"):
        return False
    if "/." not in path:
        return True
    return not any(part in (".", "..") for part in path.split("/"))


def _refuse(
    status: int, step: str, reason: str, retry_after_s: int | None = None
) -> refusal.Refusal:
    return refusal.Refusal(
        status, "not_run", step, reason, retry_after_s=retry_after_s
    )

"""Whether a request may run, and for whom."""

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
    """A request that may run.

    Attributes:
        route: Its route.
        service: The service of the route.
        organisation: Whose key came with it, None on open routes.
        key: The key itself, to keep it from the upstream.
        idempotent: Whether it may be retried.
        table: Routes and keys that it was checked against.
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
    """Checks one request.

    Args:
        table: Routes and keys in force, None before the first configuration.
        scope: The ASGI scope of the request.
        is_fresh: Whether the configuration may be used for keyed routes.
        max_header_bytes: Longest header section accepted.
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
    found_keys = headers.api_keys(raw)
    if len(found_keys) > 1:
        return _refuse(400, "admission.key", "more than one key was sent")
    if table is None:
        return _refuse(
            503, "admission.config", "no configuration yet", retry_after_s=1
        )
    found = table.route(path)
    if found is None:
        return _refuse(404, "admission.route", "no route for this path")
    key = found_keys[0] if found_keys else None
    owner = None
    if found.access == "key":
        checked = _authenticate(table, found, key, is_config_fresh)
        if isinstance(checked, refusal.Refusal):
            return checked
        owner = checked
    return Admission(
        route=found,
        service=table.services[found.service],
        organisation=owner,
        key=key,
        idempotent=scope["method"] in found.idempotent_methods,
        routing_table=table,
    )


def _authenticate(
    table: routing.RoutingTable,
    found: route.Route,
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
    if not routing.is_allowed(found, owner.name):
        return _refuse(
            403, "admission.route", "this organisation may not use this route"
        )
    return owner


def _is_normalised(path: str) -> bool:
    """Returns whether a path means the same here and at the upstream."""
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

"""Decodes the operators' configuration."""

import result
from absl import logging

from bramleyworks import errors
from bramleyworks.gateway import gateway_config
from bramleyworks.gateway import limits
from bramleyworks.gateway import organisation
from bramleyworks.gateway import route
from bramleyworks.gateway import service
from bramleyworks.platform import wire_json

# Timeout of a route that sets none: the longest deadline of the callers on the
# request sheets.
DEFAULT_TIMEOUT_S = 15.0
IDEMPOTENT_KINDS = ("safe", "download")
UPLOAD_KIND = "upload"
# Requests of other kinds run at most once.
KNOWN_KINDS = (*IDEMPOTENT_KINDS, "unsafe", UPLOAD_KIND)


def version_number(text: str) -> int:
    """Returns the number of a version such as ``r12``.

    Raises:
        ValueError: The text is not a version.
    """
    digits = text.removeprefix("r")
    if digits == text or not (digits.isascii() and digits.isdigit()):
        raise ValueError(f"version {text!r:.40} is not r and a number")
    return int(digits)


def read_version(raw: bytes) -> int | None:
    """Returns the version of a configuration, None if it is unreadable."""
    try:
        return version_number(wire_json.decode(raw)["version"])
    except wire_json.FIELD_ERRORS:
        # Logged where the configuration is decoded.
        return None


def decode(
    raw: bytes, peer: str
) -> result.Result[gateway_config.GatewayConfig, errors.DocumentError]:
    """Decodes a configuration.

    Args:
        raw: JSON text as the operators wrote it.
        peer: Source of the text, for errors.
    """
    try:
        body = wire_json.decode(raw)
        found = read_config(body)
    except wire_json.FIELD_ERRORS as exc:
        return result.Err(
            errors.DocumentError("config.decode", peer, reason(exc))
        )
    _log_unknown_kinds(body)
    return result.Ok(found)


def reason(exc: Exception) -> str:
    """Returns what is wrong with a field that raised an error."""
    if isinstance(exc, KeyError):
        return f"field {exc.args[0]} is missing"
    return str(exc)


def _log_unknown_kinds(body: dict) -> None:
    for listener in body["listeners"]:
        for rule in listener["rules"]:
            if rule["kind"] not in KNOWN_KINDS:
                logging.warning(
                    "kind %.40r of route %.40r is unknown, its requests run"
                    " once",
                    rule["kind"],
                    rule["name"],
                )


def read_config(body: dict) -> gateway_config.GatewayConfig:
    """Returns the configuration in a decoded JSON value.

    Raises:
        Exception: One of ``wire_json.FIELD_ERRORS``; also below.
    """
    organisations = {}
    organisation_by_key = {}
    for item in body.get("tenants") or ():
        found = read_organisation(item)
        organisations[found.name] = found
        organisation_by_key.update(dict.fromkeys(found.keys, found.name))
    routes: dict[str, dict[str, route.Route]] = {}
    for listener in body["listeners"]:
        host = listener["host"].lower()
        for rule in listener["rules"]:
            found = read_route(host, rule)
            routes.setdefault(host, {})[found.prefix] = found
    services = {i["name"]: read_service(i) for i in body["clusters"]}
    return gateway_config.GatewayConfig(
        version=version_number(body["version"]),
        limits=read_limits(body.get("limits") or {}),
        organisations=organisations,
        organisation_by_key=organisation_by_key,
        routes=routes,
        services=services,
    )


def read_limits(item: dict) -> limits.Limits:
    """Returns the limits on callers."""
    defaults = limits.Limits()
    return limits.Limits(
        header_bytes=int(item.get("max_header_bytes") or defaults.header_bytes),
        body_bytes=int(item.get("max_body_bytes") or defaults.body_bytes),
        header_timeout_s=_seconds(
            item.get("header_timeout_ms"), defaults.header_timeout_s
        ),
        idle_timeout_s=_seconds(
            item.get("idle_timeout_ms"), defaults.idle_timeout_s
        ),
    )


def _seconds(millis: float | None, default: float) -> float:
    return millis / 1000 if millis else default


def read_organisation(item: dict) -> organisation.Organisation:
    """Returns one organisation."""
    priority = item.get("priority")
    return organisation.Organisation(
        name=wire_json.check_text(item["name"]),
        keys=tuple(item.get("api_keys") or ()),
        priority=int(priority) if priority is not None else None,
        rate_per_s=float(item.get("rate_per_s") or 0),
        burst=float(item.get("burst") or 0),
        regions=frozenset(item.get("home_regions") or ()),
    )


def read_route(host: str, rule: dict) -> route.Route:
    """Returns the route that a rule of a host describes."""
    # A rule's "match" holds only the prefix; its "action" holds the services
    # and the limits.
    action = rule["action"]
    services = tuple(
        route.WeightedService(part["service"], float(part["weight"]))
        for part in action.get("split") or ()
    ) or (route.WeightedService(action["service"], 1.0),)
    timeout_s = _seconds(action.get("timeout_ms"), DEFAULT_TIMEOUT_S)
    kind = rule["kind"]
    return route.Route(
        name=rule["name"],
        host=host,
        prefix=rule["match"]["prefix"],
        idempotent=kind in IDEMPOTENT_KINDS,
        services=services,
        timeout_s=timeout_s,
        attempts=max(1, int(action.get("attempts") or 1)),
        objective_s=_seconds(rule.get("goal_ms"), timeout_s),
        priority=int(rule.get("priority") or 0),
        # The operators call a route that needs no key "public".
        is_public=bool(rule.get("public")),
        is_sticky=bool(rule.get("sticky")),
        regions=frozenset(action.get("home_regions") or ()),
        is_upload=kind == UPLOAD_KIND,
    )


def read_service(item: dict) -> service.Service:
    """Returns one service."""
    return service.Service(
        name=item["name"],
        health_path=item.get("health_path") or service.DEFAULT_HEALTH_PATH,
        max_conns=int(item.get("max_conns") or 1),
        cold_s=float(item.get("cold_s") or 0),
        cold_per_s=float(item.get("cold_per_s") or 0),
    )

"""Decodes a configuration entry by entry, to locate what is wrong with it."""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import gateway_config
from bramleyworks.gateway import instance
from bramleyworks.operations import config_finding
from bramleyworks.operations import located_config
from bramleyworks.platform import store_keys
from bramleyworks.platform import wire_config
from bramleyworks.platform import wire_json
from bramleyworks.platform import wire_upstream

# Location of a fault that no entry can be named for.
ROOT = "configuration"
_LIMITS = (
    "max_header_bytes",
    "max_body_bytes",
    "header_timeout_ms",
    "idle_timeout_ms",
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigReading:
    """What was read from a configuration.

    Attributes:
        findings: What VMs reject or misread.
        entries: The entries that can be decoded.
        config: The configuration that VMs would use, None if they reject it.
    """

    findings: tuple[config_finding.Finding, ...]
    entries: located_config.LocatedConfig
    config: gateway_config.GatewayConfig | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsReading:
    """What was read from a list of upstreams.

    Attributes:
        findings: Registrations that VMs reject.
        upstreams: The others.
    """

    findings: tuple[config_finding.Finding, ...]
    upstreams: tuple[instance.Instance, ...]


def read(
    raw: bytes, peer: str
) -> result.Result[ConfigReading, errors.DocumentError]:
    """Reads a configuration.

    Args:
        raw: JSON text as it is stored.
        peer: Source of the text, for errors.

    Returns:
        What was read, an error if the text is no JSON object.
    """
    try:
        body = wire_json.decode(raw, dict)
    except wire_json.FIELD_ERRORS as exc:
        return _unreadable(peer, exc)
    reader = _Reader()
    entries = reader.entries(body)
    config = None
    try:
        config = wire_config.read_config(body)
    except wire_json.FIELD_ERRORS as exc:
        if entries.is_complete:
            reader.add("invalid", ROOT, wire_config.reason(exc))
    return result.Ok(ConfigReading(tuple(reader.findings), entries, config))


def read_upstreams(
    raw: bytes, peer: str
) -> result.Result[UpstreamsReading, errors.DocumentError]:
    """Reads a list of upstreams.

    Args:
        raw: JSON object of the registrations by key or id, or a list of them.
        peer: Source of the text, for errors.

    Returns:
        What was read, an error if the text is neither.
    """
    try:
        body = wire_json.decode(raw, dict | list)
    except wire_json.FIELD_ERRORS as exc:
        return _unreadable(peer, exc)
    entries = body.items() if isinstance(body, dict) else enumerate(body)
    findings, upstreams = [], []
    for key, entry in entries:
        decoded = wire_upstream.decode(
            str(key).removeprefix(store_keys.UPSTREAMS),
            msgspec.json.encode(entry),
        )
        if decoded.is_ok():
            upstreams.append(decoded.unwrap())
        else:
            findings.append(
                config_finding.Finding(
                    "invalid",
                    f"upstreams[{key!r:.80}]",
                    decoded.unwrap_err().reason,
                )
            )
    return result.Ok(UpstreamsReading(tuple(findings), tuple(upstreams)))


def _unreadable(peer: str, exc: Exception) -> result.Err[errors.DocumentError]:
    return result.Err(
        errors.DocumentError("config.read", peer, f"cannot be decoded: {exc}")
    )


class _Reader:
    """Decodes the entries of a configuration and collects findings."""

    def __init__(self):
        self.findings: list[config_finding.Finding] = []
        self._is_complete = True

    def add(
        self, kind: config_finding.Kind, location: str, reason: str
    ) -> None:
        self.findings.append(config_finding.Finding(kind, location, reason))

    def _reject(self, location: str, reason: str) -> None:
        """Adds a finding about an entry that is left out."""
        self.add("invalid", location, reason)
        self._is_complete = False

    def entries(self, body: Mapping) -> located_config.LocatedConfig:
        self._decode(
            "version",
            body,
            lambda i: wire_config.version_number(i["version"]),
        )
        organisations = tuple(self._organisations(body))
        routes = tuple(self._routes(body))
        services = tuple(self._services(body))
        limits = self._limits(body.get("limits") or {})
        return located_config.LocatedConfig(
            organisations, routes, services, limits, self._is_complete
        )

    def _decode(
        self, location: str, item: Any, decode: Callable[[Any], Any]
    ) -> Iterator[located_config.Located]:
        try:
            return iter((located_config.Located(location, decode(item)),))
        except wire_json.FIELD_ERRORS as exc:
            self._reject(location, wire_config.reason(exc))
        return iter(())

    def _list(
        self, item: Any, field: str, prefix: str = "", is_optional=False
    ) -> Iterator[tuple[str, dict]]:
        """Yields the objects in a list and their places."""
        location = f"{prefix}{field}"
        if field not in item and not is_optional:
            self._reject(location, "is missing")
            return
        values = item.get(field)
        if is_optional and not values:
            return
        if not isinstance(values, list):
            self._reject(location, "must be a list")
            return
        for number, value in enumerate(values):
            if isinstance(value, dict):
                yield f"{location}[{number}]", value
            else:
                self._reject(f"{location}[{number}]", "must be an object")

    def _organisations(self, body: Mapping) -> Iterator[located_config.Located]:
        for location, item in self._list(body, "tenants", is_optional=True):
            is_usable = all(
                (
                    self._texts(location, item, "api_keys"),
                    self._texts(location, item, "home_regions"),
                )
            )
            if is_usable:
                yield from self._decode(
                    location, item, wire_config.read_organisation
                )

    def _routes(self, body: Mapping) -> Iterator[located_config.Located]:
        for place, listener in self._list(body, "listeners"):
            host = listener.get("host")
            if not self._text(f"{place}.host", host):
                host = None
            for location, rule in self._list(listener, "rules", f"{place}."):
                if host is not None and self._check_rule(location, rule):
                    yield from self._decode(
                        location,
                        rule,
                        lambda i, h=host: wire_config.read_route(h.lower(), i),
                    )

    def _check_rule(self, location: str, rule: dict) -> bool:
        """Checks what the decoder takes without looking at it."""
        for field in ("public", "sticky"):
            if not isinstance(rule.get(field, False), bool | None):
                self.add(
                    "invalid",
                    f"{location}.{field}",
                    f"must be true or false, is read as"
                    f" {str(bool(rule[field])).lower()}",
                )
        kind = rule.get("kind")
        if kind is not None and kind not in wire_config.KNOWN_KINDS:
            self.add(
                "invalid",
                f"{location}.kind",
                f"{kind!r:.40} is unknown, its requests run at most once",
            )
        match, action = rule.get("match"), rule.get("action")
        if not isinstance(match, dict) or not isinstance(action, dict):
            self._reject(location, "needs the objects match and action")
            return False
        self._check_zero(location, rule, "goal_ms", "the timeout counts")
        self._check_zero(
            f"{location}.action",
            action,
            "timeout_ms",
            f"the default of {wire_config.DEFAULT_TIMEOUT_S * 1000:g} ms"
            " counts",
        )
        checks = [
            self._text(f"{location}.name", rule.get("name")),
            self._text(f"{location}.match.prefix", match.get("prefix")),
            self._texts(f"{location}.action", action, "home_regions"),
        ]
        places = [(f"{location}.action", action)]
        if action.get("split"):
            # Entries that are no objects give findings and are left out.
            places = list(self._list(action, "split", f"{location}.action."))
            checks.append(bool(places))
        checks += [
            self._text(f"{place}.service", part.get("service"))
            for place, part in places
        ]
        return all(checks)

    def _services(self, body: Mapping) -> Iterator[located_config.Located]:
        for location, item in self._list(body, "clusters"):
            if self._text(f"{location}.name", item.get("name")):
                yield from self._decode(
                    location, item, wire_config.read_service
                )

    def _limits(self, item: Any) -> located_config.Located | None:
        if not isinstance(item, dict):
            self._reject("limits", "must be an object")
            return None
        defaults = wire_config.read_limits({})
        texts = (
            f"{defaults.header_bytes} bytes",
            f"{defaults.body_bytes} bytes",
            f"{defaults.header_timeout_s * 1000:g} ms",
            f"{defaults.idle_timeout_s * 1000:g} ms",
        )
        for field, text in zip(_LIMITS, texts, strict=True):
            self._check_zero(
                "limits", item, field, f"the default of {text} counts"
            )
        return next(self._decode("limits", item, wire_config.read_limits), None)

    def _check_zero(
        self, location: str, item: dict, field: str, effect: str
    ) -> None:
        """Checks a limit that VMs take for absent if it is 0."""
        value = item.get(field)
        if value == 0:
            self.add(
                "contradiction",
                f"{location}.{field}",
                f"0 permits nothing; VMs take it for absent, and {effect}",
            )

    def _text(self, location: str, value: Any) -> bool:
        if value is None:
            self._reject(location, "is missing")
        elif not isinstance(value, str):
            self._reject(location, "must be a text")
        return isinstance(value, str)

    def _texts(self, location: str, item: dict, field: str) -> bool:
        values = item.get(field) or []
        # The decoder would split a text into its characters.
        if isinstance(values, list) and all(
            isinstance(value, str) for value in values
        ):
            return True
        self._reject(f"{location}.{field}", "must be a list of texts")
        return False

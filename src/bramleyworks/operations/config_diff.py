"""Computes the differences between two configurations that VMs would see."""

import dataclasses
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from bramleyworks.document import change
from bramleyworks.gateway import gateway_config
from bramleyworks.gateway import organisation
from bramleyworks.gateway import route

# Lists the keys of an organisation, which are secret.
_SECRET_FIELDS = ((organisation.Organisation, "keys"),)


def changes(
    old: gateway_config.GatewayConfig, new: gateway_config.GatewayConfig
) -> tuple[change.Change, ...]:
    """Returns all differences; the values of API keys are left out."""
    found = []
    if old.version != new.version:
        found.append(
            change.Change(
                "changed", "version", str(old.version), str(new.version)
            )
        )
    found += _fields(old.limits, new.limits, "limits")
    found += _items(old.organisations, new.organisations, "organisations")
    found += _items(_routes(old), _routes(new), "routes")
    found += _items(old.services, new.services, "services")
    return tuple(found)


def _routes(config: gateway_config.GatewayConfig) -> dict[str, route.Route]:
    return {
        f"{host}{prefix}": item
        for host, prefixes in config.routes.items()
        for prefix, item in prefixes.items()
    }


def _items(
    old: Mapping[str, Any], new: Mapping[str, Any], path: str
) -> Iterator[change.Change]:
    for name, item in old.items():
        if name not in new:
            yield change.Change(
                "removed", f"{path}[{name}]", old=_summary(item)
            )
    for name, item in new.items():
        if name not in old:
            yield change.Change("added", f"{path}[{name}]", new=_summary(item))
        else:
            yield from _fields(old[name], item, f"{path}[{name}]")


def _fields(old: Any, new: Any, path: str) -> Iterator[change.Change]:
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        old_text, new_text = _text(before), _text(after)
        if (type(old), field.name) in _SECRET_FIELDS:
            removed = len(set(before) - set(after))
            added = len(set(after) - set(before))
            old_text = f"{len(before)} keys"
            new_text = f"{len(after)} keys ({removed} removed, {added} added)"
        yield change.Change(
            "changed", f"{path}.{field.name}", old_text, new_text
        )


def _summary(item: Any) -> str:
    return ", ".join(
        f"{field.name}={len(value) if is_secret else _text(value)}"
        for field in dataclasses.fields(item)
        for value in (getattr(item, field.name),)
        for is_secret in ((type(item), field.name) in _SECRET_FIELDS,)
    )


def _text(value: Any) -> str:
    if isinstance(value, frozenset):
        return "[" + ", ".join(sorted(map(str, value))) + "]"
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_text, value)) + "]"
    if isinstance(value, route.WeightedService):
        return f"{value.service}:{value.weight:g}"
    if isinstance(value, float):
        return f"{value:.15g}"
    return str(value) if value != "" else "''"

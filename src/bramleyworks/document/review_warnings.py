"""Valid changes that an operator should confirm."""

from collections.abc import Iterator

from bramleyworks.document import document
from bramleyworks.document.rules import drain_rules

# Share of a service's slots. At 70% load, the level at which wrongful refusals
# are measured, the remaining slots are too few if more than 30% are drained.
MAX_DRAINED_SHARE = 0.3
NON_IDEMPOTENT_METHODS = frozenset(("POST", "PATCH"))


def find(old: document.Document, new: document.Document) -> tuple[str, ...]:
    """Returns warnings about the changes from one document to another."""
    return tuple(
        text
        for rule in (_keys, _routes, _methods, _versions, _slots)
        for text in rule(old, new)
    )


def _keys(old, new) -> Iterator[str]:
    after = {item.name: item for item in new.organisations}
    for item in old.organisations:
        kept = after.get(item.name)
        if kept is None:
            yield f"organisation {item.name} is removed; its callers get 401"
            continue
        digests = {key.digest for key in kept.keys}
        for key in item.keys:
            if key.digest not in digests:
                yield (
                    f"key {key.id} of {item.name} stops working within"
                    " seconds, also on open connections"
                )
        if kept.rate_per_s < item.rate_per_s / 2:
            yield (
                f"rate of {item.name} falls from {item.rate_per_s:g} to"
                f" {kept.rate_per_s:g} requests per second"
            )
    for item in new.organisations:
        if not item.keys:
            yield f"organisation {item.name} has no key"


def _routes(old, new) -> Iterator[str]:
    before = {item.prefix: item for item in old.routes}
    after = {item.prefix for item in new.routes}
    for item in new.routes:
        known = before.get(item.prefix)
        if item.access == "open" and (known is None or known.access != "open"):
            yield f"route {item.prefix} is open to all without a key"
    for prefix in before:
        if prefix not in after:
            yield f"route {prefix} is removed"


def _methods(old, new) -> Iterator[str]:
    before = {item.prefix: item for item in old.routes}
    for item in new.routes:
        known = before.get(item.prefix)
        added = set(item.idempotent_methods) & NON_IDEMPOTENT_METHODS
        added -= set(known.idempotent_methods) if known else set()
        for method in sorted(added):
            yield (
                f"{method} requests on {item.prefix} may be run twice after"
                " a failure"
            )


def _versions(old, new) -> Iterator[str]:
    before = {item.name: item.version for item in old.services}
    for item in new.services:
        known = before.get(item.name, item.version)
        if known != item.version:
            yield (
                f"all traffic of service {item.name} goes from version {known}"
                f" to {item.version} at once; correct only after a completed"
                " move"
            )
    kept = {item.id for item in new.moves}
    for item in old.moves:
        if item.id not in kept:
            yield (
                f"move {item.id} is removed; its share of version"
                f" {item.to_version} ends at once"
            )


def _slots(old, new) -> Iterator[str]:
    for item in new.services:
        targets = [
            target
            for target in new.upstreams
            if (target.service, target.version) == (item.name, item.version)
        ]
        slots = sum(target.slots for target in targets)
        drained = sum(
            target.slots
            for target in targets
            if any(drain_rules.covers(drain, target) for drain in new.drains)
        )
        if drained > MAX_DRAINED_SHARE * slots:
            yield (
                f"drains take {drained} of {slots} slots of service {item.name}"
            )

"""Rules for services."""

from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules

REQUEST_MIN_S = 0.1
REQUEST_MAX_S = 600
SHIFT_AFTER_MAX_MS = 60_000
WARMUP_MAX_S = 600
QUEUE_MAX = 100_000
RESERVE_MAX = 10_000


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all services."""
    services = context.doc.services
    yield from field_rules.unique(
        ((f"services[{i}].name", item.name) for i, item in enumerate(services)),
        "the name of a service",
    )
    for i, item in enumerate(services):
        path = f"services[{i}]"
        yield from field_rules.name(f"{path}.name", item.name)
        yield from field_rules.name(f"{path}.version", item.version)
        for field, low, high, unit in (
            ("max_request_s", REQUEST_MIN_S, REQUEST_MAX_S, "seconds"),
            ("shift_after_ms", 0, SHIFT_AFTER_MAX_MS, "milliseconds"),
            ("warmup_s", 0, WARMUP_MAX_S, "seconds"),
            ("queue_limit", 0, QUEUE_MAX, "requests"),
            ("reserve_slots", 0, RESERVE_MAX, "slots"),
        ):
            yield from field_rules.number(
                f"{path}.{field}", getattr(item, field), low, high, unit
            )

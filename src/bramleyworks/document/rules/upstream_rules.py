"""Rules for upstreams."""

import ipaddress
import urllib.parse

from bramleyworks.document import problem
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules

SLOTS_MAX = 10_000
CONNECTIONS_MAX = 65_535


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all upstreams."""
    upstreams = context.doc.upstreams
    for field, what in (
        ("name", "the name of an upstream"),
        # Two upstreams at one URL would count the slots of one server twice.
        ("url", "the URL of an upstream"),
    ):
        yield from field_rules.unique(
            (
                (f"upstreams[{i}].{field}", getattr(item, field))
                for i, item in enumerate(upstreams)
            ),
            what,
        )
    for i, item in enumerate(upstreams):
        path = f"upstreams[{i}]"
        yield from field_rules.name(f"{path}.name", item.name)
        yield from field_rules.name(f"{path}.version", item.version)
        yield from field_rules.known(
            f"{path}.service", item.service, context.services, "service"
        )
        yield from field_rules.location(
            path, item.region, item.failure_domain, context.domains_by_region
        )
        if not _is_base_url(item.url):
            yield problem.Problem(
                f"{path}.url",
                "must be http://IP:PORT with an IP number and a port of 1 to"
                f" 65535, is {field_rules.shorten(item.url)}",
            )
        yield from field_rules.number(
            f"{path}.slots", item.slots, 1, SLOTS_MAX, "requests at once"
        )
        yield from field_rules.number(
            f"{path}.connections",
            item.connections,
            1,
            CONNECTIONS_MAX,
            "connections",
        )
        if item.connections < item.slots <= SLOTS_MAX:
            yield problem.Problem(
                f"{path}.connections",
                f"must be at least its {item.slots} slots, because each"
                f" running request has a connection, is {item.connections}",
            )


def _is_base_url(url: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(url)
        address = ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        return False
    host = f"[{address}]" if address.version == 6 else str(address)
    # Comparing with the rebuilt URL rejects paths, credentials and
    # non-canonical spellings.
    return bool(port) and url == f"http://{host}:{port}"

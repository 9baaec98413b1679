"""Rules for blocks of client addresses."""

import ipaddress

from bramleyworks.document import problem
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all client blocks."""
    valid = []
    for i, item in enumerate(context.doc.client_blocks):
        path = f"client_blocks[{i}]"
        try:
            network = ipaddress.ip_network(item.cidr)
        except ValueError:
            yield problem.Problem(
                f"{path}.cidr",
                "must be ADDRESS/LENGTH with no address bits after the prefix,"
                f" is {field_rules.shorten(item.cidr)}",
            )
        else:
            valid.append((f"{path}.cidr", str(network)))
        yield from field_rules.location(
            path, item.region, item.failure_domain, context.domains_by_region
        )
    yield from field_rules.unique(valid, "a client block")

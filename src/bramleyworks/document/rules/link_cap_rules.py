"""Rules for caps on traffic shifted between regions."""

from bramleyworks.document import item_identity
from bramleyworks.document import problem
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules

# In both deployments the link between any two regions carries 4 Gbit/s in
# each direction.
LINK_BITS_PER_S = 4e9
REQUESTS_MAX_PER_S = 10e6


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all link caps."""
    caps = context.doc.link_caps
    yield from field_rules.unique(
        (
            (f"link_caps[{i}]", item_identity.of(item))
            for i, item in enumerate(caps)
        ),
        "the pair of source and target of a cap",
    )
    for i, item in enumerate(caps):
        path = f"link_caps[{i}]"
        for field in ("source", "target"):
            yield from field_rules.known(
                f"{path}.{field}",
                getattr(item, field),
                context.domains_by_region,
                "region",
            )
        if item.source == item.target:
            yield problem.Problem(
                f"{path}.target",
                f"must differ from the source {item.source!r}, a region does"
                " not shift to itself",
            )
        yield from field_rules.number(
            f"{path}.requests_per_s",
            item.requests_per_s,
            0,
            REQUESTS_MAX_PER_S,
            "requests per second",
        )
        yield from field_rules.number(
            f"{path}.bits_per_s",
            item.bits_per_s,
            0,
            LINK_BITS_PER_S,
            "bits per second",
        )

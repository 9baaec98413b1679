"""Rules for regions."""

from bramleyworks.document import problem
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all regions."""
    regions = context.doc.regions
    yield from field_rules.unique(
        ((f"regions[{i}].name", item.name) for i, item in enumerate(regions)),
        "the name of a region",
    )
    for i, item in enumerate(regions):
        path = f"regions[{i}]"
        yield from field_rules.name(f"{path}.name", item.name)
        if not item.failure_domains:
            yield problem.Problem(
                f"{path}.failure_domains",
                "must name at least 1 failure domain",
            )
        domains = [
            (f"{path}.failure_domains[{j}]", domain)
            for j, domain in enumerate(item.failure_domains)
        ]
        yield from field_rules.unique(domains, "a failure domain of a region")
        for domain_path, domain in domains:
            yield from field_rules.name(domain_path, domain)

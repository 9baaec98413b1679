"""Rules for drains."""

from bramleyworks.document import drain
from bramleyworks.document import item_identity
from bramleyworks.document import problem
from bramleyworks.document import upstream
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all drains."""
    drains = context.doc.drains
    yield from field_rules.unique(
        (
            (f"drains[{i}].target", item_identity.of(item))
            for i, item in enumerate(drains)
        ),
        "a drain",
    )
    targets = {
        "upstream": {item.name for item in context.doc.upstreams},
        "region": set(context.domains_by_region),
        "failure_domain": {
            f"{region}/{domain}"
            for region, domains in context.domains_by_region.items()
            for domain in domains
        },
    }
    for i, item in enumerate(drains):
        path = f"drains[{i}].target"
        if item.kind == "vm":
            # VMs are on the platform's list, not in the document.
            yield from field_rules.name(path, item.target)
        else:
            yield from field_rules.known(
                path,
                item.target,
                targets[item.kind],
                item.kind.replace("_", " "),
            )
    yield from _check_undrained_upstreams(context)


def covers(item: drain.Drain, target: upstream.Upstream) -> bool:
    """Returns whether a drain keeps new requests from an upstream."""
    return item.target == {
        "upstream": target.name,
        "region": target.region,
        "failure_domain": f"{target.region}/{target.failure_domain}",
    }.get(item.kind)


def _check_undrained_upstreams(
    context: check_context.CheckContext,
) -> field_rules.Problems:
    required = [(item.name, item.version) for item in context.doc.services]
    required += [(item.service, item.to_version) for item in context.doc.moves]
    for service, version in dict.fromkeys(required):
        upstreams = context.upstreams.get((service, version), ())
        drain_indexes = [
            next(
                (
                    i
                    for i, item in enumerate(context.doc.drains)
                    if covers(item, target)
                ),
                None,
            )
            for target in upstreams
        ]
        if drain_indexes and None not in drain_indexes:
            yield problem.Problem(
                f"drains[{max(drain_indexes)}].target",
                f"at least 1 upstream of service {service!r} version"
                f" {version!r} must stay undrained, the drains cover all"
                f" {len(drain_indexes)}",
            )

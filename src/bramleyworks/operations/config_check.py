"""Finds entries and limits of a configuration that cannot work together.

The rules follow what VMs do with the decoded configuration: ``find_route``,
``gateway/admission.py`` and ``gateway/quotas.py``.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from typing import Any

from bramleyworks.gateway import gateway_config
from bramleyworks.gateway import instance
from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.gateway import route as route_module
from bramleyworks.operations import config_finding
from bramleyworks.operations import located_config

# Interval at which VMs tell each other what they admitted; between two reports
# they admit about one burst together. Same as HEARTBEAT_INTERVAL_S of
# gateway/peers.py, whose import would load the network libraries.
REPORT_INTERVAL_S = 0.25

_Findings = Iterator[config_finding.Finding]
_Organisations = Sequence[
    located_config.Located[organisation_module.Organisation]
]
_Routes = Sequence[located_config.Located[route_module.Route]]


def find(
    config: located_config.LocatedConfig,
) -> tuple[config_finding.Finding, ...]:
    """Returns the entries that never match and the limits that contradict."""
    return (
        *_find_replaced(config),
        *_find_unmatched_routes(config.routes),
        *_find_keys(config.organisations),
        *_find_services(config),
        *_find_disjoint_regions(config),
        *_find_limits(config),
        *_find_rates(config.organisations),
    )


def find_ignored_version(
    current: gateway_config.GatewayConfig, new: gateway_config.GatewayConfig
) -> tuple[config_finding.Finding, ...]:
    """Returns whether VMs ignore a changed configuration.

    Args:
        current: Configuration in force.
        new: Configuration that is to follow it.
    """
    if new == current or new.version > current.version:
        return ()
    return (
        _contradiction(
            "version",
            f"{new.version} is not above {current.version}, which is in force,"
            " so VMs ignore the change",
        ),
    )


def find_unserved_regions(
    config: located_config.LocatedConfig,
    upstreams: Sequence[instance.Instance],
    regions: Mapping[str, str] | None,
) -> tuple[config_finding.Finding, ...]:
    """Returns the home regions in which no upstream can run the requests.

    Args:
        config: Configuration to check.
        upstreams: Registered upstreams; draining ones do not count.
        regions: Region of each failure domain. If it is None, only services
            without any upstream are found.
    """
    ready = [item for item in upstreams if not item.is_draining]
    found = []
    for entry in config.routes:
        for service in _used_services(entry.item):
            domains = {i.failure_domain for i in ready if i.service == service}
            if regions is None and domains:
                continue
            served = {(regions or {}).get(domain) for domain in domains}
            found += _find_unserved(config, entry, service, served)
    return tuple(found)


def _find_unserved(
    config: located_config.LocatedConfig,
    entry: located_config.Located[route_module.Route],
    service: str,
    served: Set[str | None],
) -> _Findings:
    """Yields home regions of a route and its callers that are not served."""
    home = entry.item.regions
    if home - served:
        yield _without_upstreams(entry.location, service, home - served)
    # Without any served region, each organisation would repeat the finding;
    # callers of public routes belong to no organisation.
    if entry.item.is_public or (home and not home & served):
        return
    for owner in config.organisations:
        allowed = owner.item.regions & (home or owner.item.regions)
        if allowed and not allowed & served:
            yield _without_upstreams(
                owner.location, service, allowed, f" for {entry.location}"
            )


def _without_upstreams(
    location: str, service: str, regions: Iterable[str], suffix: str = ""
) -> config_finding.Finding:
    return config_finding.Finding(
        "home-region",
        location,
        f"no upstream of service {service!r} is ready in {_names(regions)}"
        f"{suffix}",
    )


def _find_replaced(config: located_config.LocatedConfig) -> _Findings:
    """Yields entries that a later one with the same identity replaces."""
    identities: tuple[tuple[str, Sequence, Callable[[Any], Any]], ...] = (
        ("host and prefix", config.routes, lambda i: (i.host, i.prefix)),
        ("name", config.organisations, lambda i: i.name),
        ("name", config.services, lambda i: i.name),
    )
    for what, entries, identity in identities:
        last = {identity(entry.item): entry.location for entry in entries}
        for entry in entries:
            location = last[identity(entry.item)]
            if location != entry.location:
                yield _unreachable(
                    entry.location,
                    f"{location} has the same {what} and replaces it",
                )


def _find_unmatched_routes(routes: _Routes) -> _Findings:
    for entry in routes:
        host, prefix = entry.item.host, entry.item.prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield _unreachable(
                entry.location,
                f"prefix {prefix!r:.80} has no slash at both ends, so no path"
                " matches",
            )
        # Paths of requests are compared as sent, with percent-encoding.
        if not prefix.isascii() or any(
            c in "?#" or c.isspace() for c in prefix
        ):
            yield _unreachable(
                entry.location,
                f"prefix {prefix!r:.80} has characters that no path has",
            )
        if not host or any(c == "/" or c.isspace() for c in host):
            yield _unreachable(
                entry.location,
                f"host {host!r:.80} is not the host of a request",
            )


def _find_keys(organisations: _Organisations) -> _Findings:
    holders: dict[str, str] = {}
    for entry in organisations:
        if not entry.item.keys:
            yield _unreachable(
                entry.location, "without an API key, no caller belongs to it"
            )
        for number, key in enumerate(entry.item.keys):
            # VMs strip the key of a request.
            if not key or key != key.strip():
                yield _unreachable(
                    entry.location,
                    f"its API key number {number} is empty or begins or ends"
                    " with white space, so no caller has it",
                )
    for entry in reversed(organisations):
        for number, key in enumerate(entry.item.keys):
            holder = holders.setdefault(key, entry.location)
            if holder != entry.location:
                yield _unreachable(
                    entry.location,
                    f"its API key number {number} is also held by {holder},"
                    " which gets the requests",
                )


def _used_services(route: route_module.Route) -> tuple[str, ...]:
    """Returns the services that receive requests of a route."""
    # As in admission: the last weight of a service counts, and without a
    # positive weight the first service receives everything.
    weights = {part.service: part.weight for part in route.services}
    used = tuple(name for name, weight in weights.items() if weight > 0)
    if len(route.services) == 1:
        return (route.services[0].service,)
    return used or (route.services[0].service,)


def _find_services(config: located_config.LocatedConfig) -> _Findings:
    known = {entry.item.name for entry in config.services}
    named = set()
    for entry in config.routes:
        parts = entry.item.services
        names = [part.service for part in parts]
        named.update(names)
        for number, part in enumerate(parts):
            if config.is_complete and part.service not in known:
                yield config_finding.Finding(
                    "invalid",
                    entry.location,
                    f"service {part.service!r:.80} is not configured",
                )
            if part.service in names[number + 1 :]:
                yield _unreachable(
                    entry.location,
                    f"a later part of the split replaces part {number}, which"
                    " names the same service",
                )
            # The decoder takes the text "nan" for a number.
            elif not part.weight > 0:
                yield _unreachable(
                    entry.location,
                    f"part {number} of the split has weight {part.weight:g}"
                    + (
                        " and yet receives all requests, since no part has more"
                        if part.service in _used_services(entry.item)
                        else ", so it receives no requests"
                    ),
                )
    for entry in config.services:
        if config.is_complete and entry.item.name not in named:
            yield _unreachable(entry.location, "no rule names this service")


def _find_disjoint_regions(config: located_config.LocatedConfig) -> _Findings:
    for entry in config.routes:
        # Callers of public routes belong to no organisation.
        if entry.item.is_public or not entry.item.regions:
            continue
        for owner in config.organisations:
            home = owner.item.regions
            if home and not home & entry.item.regions:
                yield _unreachable(
                    entry.location,
                    f"its home regions ({_names(entry.item.regions)}) and those"
                    f" of {owner.location} ({_names(home)}) have none in"
                    " common, so VMs refuse the requests of this organisation",
                )


def _find_limits(config: located_config.LocatedConfig) -> _Findings:
    for entry in config.routes:
        route = entry.item
        if route.timeout_s < 0:
            yield _contradiction(
                entry.location, "the timeout is below 0: every request is late"
            )
        elif route.objective_s > route.timeout_s:
            yield _contradiction(
                entry.location,
                f"the objective of {_millis(route.objective_s)} is above the"
                f" timeout of {_millis(route.timeout_s)}",
            )
        if route.objective_s < 0:
            yield _contradiction(entry.location, "the objective is below 0")
    if config.limits is None:
        return
    limits, location = config.limits.item, config.limits.location
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield _contradiction(
            location,
            f"the time for a request head, {_millis(limits.header_timeout_s)},"
            " is above the idle time of a connection,"
            f" {_millis(limits.idle_timeout_s)}",
        )
    amounts = (
        ("size of a request head", limits.header_bytes),
        ("size of a request body", limits.body_bytes),
        ("time for a request head", limits.header_timeout_s),
        ("idle time of a connection", limits.idle_timeout_s),
    )
    for what, amount in amounts:
        if amount < 0:
            yield _contradiction(location, f"the {what} is below 0")


def _find_rates(organisations: _Organisations) -> _Findings:
    for entry in organisations:
        rate, burst = entry.item.rate_per_s, entry.item.burst
        if not rate >= 0:
            yield _contradiction(
                entry.location, f"a rate of {rate:g} does not limit anything"
            )
        elif rate == 0 and burst:
            yield _contradiction(
                entry.location,
                f"a burst of {burst:g} has no effect without a rate",
            )
        elif rate > 0:
            least = max(1.0, rate * REPORT_INTERVAL_S)
            if burst < least:
                yield _contradiction(
                    entry.location,
                    f"a burst of {burst:g} is below {least:g}, which a rate of"
                    f" {rate:g} requests a second needs",
                )


def _unreachable(location: str, reason: str) -> config_finding.Finding:
    return config_finding.Finding("unreachable", location, reason)


def _contradiction(location: str, reason: str) -> config_finding.Finding:
    return config_finding.Finding("contradiction", location, reason)


def _names(regions: Iterable[str]) -> str:
    return ", ".join(sorted(map(repr, regions)))


def _millis(duration_s: float) -> str:
    return f"{duration_s * 1000:g} ms"

"""The sections of the console, one for each list of the document."""

from bramleyworks.console import field_spec
from bramleyworks.console import section
from bramleyworks.document import client_block
from bramleyworks.document import document
from bramleyworks.document import drain
from bramleyworks.document import link_cap
from bramleyworks.document import move
from bramleyworks.document import organisation
from bramleyworks.document import region
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.document import upstream
from bramleyworks.document.rules import link_cap_rules
from bramleyworks.document.rules import organisation_rules
from bramleyworks.document.rules import route_rules
from bramleyworks.document.rules import service_rules
from bramleyworks.document.rules import upstream_rules
from bramleyworks.policy import move_schedule as schedule

_Field = field_spec.FieldSpec
_NAME_HINT = "letters, digits, '.', '_' and '-', at most 64"


def _region_names(doc: document.Document) -> tuple[str, ...]:
    return tuple(item.name for item in doc.regions)


def _failure_domain_names(doc: document.Document) -> tuple[str, ...]:
    names = {name for item in doc.regions for name in item.failure_domains}
    return tuple(sorted(names))


def _service_names(doc: document.Document) -> tuple[str, ...]:
    return tuple(item.name for item in doc.services)


def _organisation_names(doc: document.Document) -> tuple[str, ...]:
    return tuple(item.name for item in doc.organisations)


def _upstream_versions(doc: document.Document) -> tuple[str, ...]:
    return tuple(sorted({item.version for item in doc.upstreams}))


def _drain_targets(doc: document.Document) -> tuple[str, ...]:
    return (
        *_region_names(doc),
        *(
            f"{item.name}/{name}"
            for item in doc.regions
            for name in item.failure_domains
        ),
        *(item.name for item in doc.upstreams),
    )


def _constant_options(*values: str) -> field_spec.Options:
    return lambda doc: values


_SECTIONS = (
    section.Section(
        "organisations",
        "Organisations",
        "organisation",
        "Rates and bursts hold over all VMs together. Keys are on the page of"
        " each organisation.",
        organisation.Organisation,
        (
            _Field("name", "Name", hint=_NAME_HINT),
            _Field(
                "rate_per_s",
                "Rate",
                "number",
                f"requests per second, {organisation_rules.RATE_MIN_PER_S:g}"
                f" to {organisation_rules.RATE_MAX_PER_S:,.0f}",
            ),
            _Field(
                "burst",
                "Burst",
                "number",
                f"requests at once, 1 to {organisation_rules.BURST_MAX:,.0f}",
            ),
            _Field(
                "weight",
                "Weight",
                "integer",
                "share when requests queue, 1 to"
                f" {organisation_rules.WEIGHT_MAX}",
            ),
        ),
    ),
    section.Section(
        "routes",
        "Routes",
        "route",
        "The longest matching prefix wins.",
        route.Route,
        (
            _Field(
                "prefix",
                "Path prefix",
                hint="starts with '/', not under"
                f" {' or '.join(route_rules.RESERVED_PREFIXES)}",
            ),
            _Field("service", "Service", "choice", options=_service_names),
            _Field(
                "access",
                "Access",
                "choice",
                "'key' needs a key; 'open' is open to all",
                _constant_options("key", "open"),
            ),
            _Field(
                "organisations",
                "Organisations",
                "checks",
                "none ticked: all organisations",
                _organisation_names,
                "all",
            ),
            _Field(
                "idempotent_methods",
                "Idempotent methods",
                "checks",
                "requests with these may be run again after a failure",
                _constant_options(*route_rules.METHODS),
            ),
        ),
    ),
    section.Section(
        "services",
        "Services",
        "service",
        "All traffic of a service goes to its version unless a move is"
        " running.",
        service.Service,
        (
            _Field("name", "Name", hint=_NAME_HINT),
            _Field("version", "Version in use", options=_upstream_versions),
            _Field(
                "max_request_s",
                "Longest request",
                "number",
                f"seconds, {service_rules.REQUEST_MIN_S:g} to"
                f" {service_rules.REQUEST_MAX_S}",
            ),
            _Field(
                "shift_after_ms",
                "Shift after",
                "number",
                "milliseconds of expected wait, 0 to"
                f" {service_rules.SHIFT_AFTER_MAX_MS:,}",
            ),
            _Field(
                "warmup_s",
                "Warm-up",
                "number",
                f"seconds, 0 to {service_rules.WARMUP_MAX_S}",
            ),
            _Field(
                "queue_limit",
                "Queue limit",
                "integer",
                "requests of one organisation on one VM, 0 to"
                f" {service_rules.QUEUE_MAX:,}",
            ),
            _Field(
                "reserve_slots",
                "Reserved slots",
                "integer",
                "slots of a region kept for its own requests, 0 to"
                f" {service_rules.RESERVE_MAX:,}",
            ),
        ),
    ),
    section.Section(
        "upstreams",
        "Upstreams",
        "upstream",
        "Servers that run requests of one service and version.",
        upstream.Upstream,
        (
            _Field("name", "Name", hint=_NAME_HINT),
            _Field("service", "Service", "choice", options=_service_names),
            _Field("version", "Version", options=_upstream_versions),
            _Field("region", "Region", "choice", options=_region_names),
            _Field(
                "failure_domain",
                "Failure domain",
                "choice",
                options=_failure_domain_names,
            ),
            _Field("url", "URL", hint="http://IP:PORT"),
            _Field(
                "slots",
                "Slots",
                "integer",
                f"requests at once, 1 to {upstream_rules.SLOTS_MAX:,}",
            ),
            _Field(
                "connections",
                "Connections",
                "integer",
                "at least its slots, at most"
                f" {upstream_rules.CONNECTIONS_MAX:,}",
            ),
        ),
    ),
    section.Section(
        "regions",
        "Regions",
        "region",
        "Regions and their failure domains.",
        region.Region,
        (
            _Field("name", "Name", hint=_NAME_HINT),
            _Field(
                "failure_domains", "Failure domains", "lines", "one per line"
            ),
        ),
    ),
    section.Section(
        "link_caps",
        "Link caps",
        "link cap",
        "Without a cap from one region to another nothing shifts between them.",
        link_cap.LinkCap,
        (
            _Field("source", "From region", "choice", options=_region_names),
            _Field("target", "To region", "choice", options=_region_names),
            _Field(
                "requests_per_s",
                "Requests",
                "number",
                "requests per second, 0 to"
                f" {link_cap_rules.REQUESTS_MAX_PER_S:,.0f}",
            ),
            _Field(
                "bits_per_s",
                "Traffic",
                "number",
                f"bits per second, 0 to {link_cap_rules.LINK_BITS_PER_S:,.0f}",
            ),
        ),
    ),
    section.Section(
        "drains",
        "Drains",
        "drain",
        "A drained part gets no new work; running requests finish.",
        drain.Drain,
        (
            _Field(
                "kind",
                "Kind",
                "choice",
                options=_constant_options(
                    "upstream", "failure_domain", "region", "vm"
                ),
            ),
            _Field(
                "target",
                "Target",
                hint="a name, or REGION/NAME for a failure domain",
                options=_drain_targets,
            ),
        ),
    ),
    section.Section(
        "moves",
        "Version moves",
        "version move",
        "A move is done by its deadline or rolled back. A move in force can"
        " not be changed; remove it and add one with a new id.",
        move.Move,
        (
            _Field("id", "Id", hint="never used before"),
            _Field("service", "Service", "choice", options=_service_names),
            _Field("from_version", "From version", options=_upstream_versions),
            _Field("to_version", "To version", options=_upstream_versions),
            _Field("start_s", "Start", "time", "UTC"),
            _Field(
                "deadline_s",
                "Deadline",
                "time",
                f"UTC, {schedule.MIN_MOVE_DURATION_S:.0f} s or more after"
                " the start",
            ),
        ),
    ),
    section.Section(
        "client_blocks",
        "Client blocks",
        "client block",
        "Client addresses and their nearest failure domains.",
        client_block.ClientBlock,
        (
            _Field("cidr", "Addresses", hint="ADDRESS/LENGTH"),
            _Field("region", "Region", "choice", options=_region_names),
            _Field(
                "failure_domain",
                "Failure domain",
                "choice",
                options=_failure_domain_names,
            ),
        ),
    ),
)

BY_NAME = {item.name: item for item in _SECTIONS}

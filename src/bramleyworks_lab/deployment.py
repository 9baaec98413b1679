"""The two modelled deployments and their documents."""

import dataclasses
import hashlib

from bramleyworks.document import client_block
from bramleyworks.document import document
from bramleyworks.document import key
from bramleyworks.document import link_cap
from bramleyworks.document import organisation
from bramleyworks.document import region
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.document import upstream
from bramleyworks_lab import modelled_service

LINK_BITS_PER_S = 4e9
SHIFT_REQUESTS_PER_S = 100.0
# Fraction of the traffic that each of 8 organisations sends; a few are large.
ORGANISATION_FRACTIONS = (0.25, 0.2, 0.15, 0.12, 0.1, 0.08, 0.06, 0.04)
BURST_S = 2.0
VERSION = "v1"
NEXT_VERSION = "v2"


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Sizes and latencies of one deployment.

    Attributes:
        name: Name of the deployment.
        regions: Region names; the store runs in the first.
        vms: Number of entry VMs, spread over regions and failure domains.
        services: Services with their upstreams.
        domain_s: One-way latency between failure domains in seconds.
        region_s: One-way latency between regions in seconds.
        client_s: One-way latency to clients in seconds.
    """

    name: str
    regions: tuple[str, ...]
    vms: int
    services: tuple[modelled_service.ModelledService, ...]
    domain_s: float
    region_s: float
    client_s: float

    def capacity_per_s(self) -> float:
        """Returns the total capacity of all slots in requests per second."""
        return sum(item.capacity_per_s() for item in self.services)

    def latency_s(self, source: str, target: str) -> float:
        """Returns the one-way latency between two regions in seconds."""
        return self.domain_s if source == target else self.region_s


HANEUL = Deployment(
    name="haneul",
    regions=("sudo", "yeongnam", "honam"),
    vms=10,
    services=(
        modelled_service.ModelledService("store-desk", 16, 5, 0.12, 330),
        modelled_service.ModelledService("vendor-gate", 12, 4, 0.6, 330),
    ),
    domain_s=0.001,
    region_s=0.035,
    client_s=0.001,
)
GRANITO = Deployment(
    name="granito",
    regions=("norte", "centro", "sul"),
    vms=10,
    services=(
        modelled_service.ModelledService("balcao", 20, 5, 0.15, 390),
        modelled_service.ModelledService("arquivo", 14, 4, 0.8, 390),
    ),
    domain_s=0.0005,
    region_s=0.035,
    client_s=0.008,
)
ALL = {item.name: item for item in (HANEUL, GRANITO)}


def failure_domain_of(number: int) -> str:
    """Returns the failure domain of the VM or upstream with this number."""
    return f"d{number // 3 % 2 + 1}"


def make_document(
    item: Deployment, next_version: bool = False
) -> document.Document:
    """Returns the document of a deployment.

    Args:
        item: The deployment.
        next_version: Whether to add as many upstreams with the next version
            of the first service.
    """
    capacity = item.capacity_per_s()
    organisations = tuple(
        organisation.Organisation(
            name=f"org{number}",
            rate_per_s=fraction * capacity,
            burst=fraction * capacity * BURST_S,
            keys=(
                key.Key(
                    "k", hashlib.sha256(f"key{number}".encode()).hexdigest()
                ),
            ),
        )
        for number, fraction in enumerate(ORGANISATION_FRACTIONS)
    )
    return document.Document(
        regions=tuple(region.Region(r, ("d1", "d2")) for r in item.regions),
        organisations=organisations,
        services=tuple(
            service.Service(s.name, VERSION, warmup_s=5.0)
            for s in item.services
        ),
        routes=tuple(
            route.Route(f"/{s.name}/{part}", s.name)
            for s in item.services
            for part in modelled_service.ROUTES
        ),
        upstreams=_upstreams(item, next_version),
        link_caps=tuple(
            link_cap.LinkCap(
                source, target, SHIFT_REQUESTS_PER_S, LINK_BITS_PER_S
            )
            for source in item.regions
            for target in item.regions
            if source != target
        ),
        client_blocks=tuple(
            client_block.ClientBlock(f"10.{i}.0.0/16", name, "d1")
            for i, name in enumerate(item.regions)
        ),
    )


def _upstreams(
    item: Deployment, next_version: bool
) -> tuple[upstream.Upstream, ...]:
    upstreams = []
    for modelled in item.services:
        counts = [(VERSION, modelled.upstreams)]
        if next_version and modelled is item.services[0]:
            counts.append((NEXT_VERSION, modelled.upstreams))
        for version, count in counts:
            for number in range(count):
                upstreams.append(
                    upstream.Upstream(
                        name=f"{modelled.name}-{version}-{number}",
                        service=modelled.name,
                        version=version,
                        region=item.regions[number % len(item.regions)],
                        failure_domain=failure_domain_of(number),
                        url=f"http://{modelled.name}-{version}-{number}",
                        slots=modelled.slots,
                        connections=modelled.connections,
                    )
                )
    return tuple(upstreams)

"""Document of the demo: a reduced form of both deployments."""

import hashlib
import itertools

import msgspec

from bramleyworks.document import client_block
from bramleyworks.document import document
from bramleyworks.document import drain
from bramleyworks.document import key
from bramleyworks.document import link_cap
from bramleyworks.document import organisation
from bramleyworks.document import region
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.document import upstream

HANEUL_REGIONS = ("sudo", "yeongnam", "honam")
GRANITO_REGIONS = ("norte", "centro", "sul")
FAILURE_DOMAINS = ("a", "b")
MAX_REQUEST_S = 10.0

# API keys by id. They are valid only on loopback and while the demo runs.
API_KEYS = {
    "merch-1": "demo-key-of-haneul-merch-1",
    "merch-2": "demo-key-of-haneul-merch-2",
    "lojas-1": "demo-key-of-granito-lojas-1",
}

# Name, service, region and number of slots of each upstream.
UPSTREAMS = (
    ("store-desk-1", "store-desk", "sudo", 3),
    ("store-desk-2", "store-desk", "sudo", 3),
    ("store-desk-3", "store-desk", "yeongnam", 3),
    ("vendor-gate-1", "vendor-gate", "sudo", 2),
    ("vendor-gate-2", "vendor-gate", "honam", 2),
    ("balcao-1", "balcao", "norte", 3),
    ("balcao-2", "balcao", "norte", 3),
    ("balcao-3", "balcao", "centro", 3),
    ("arquivo-1", "arquivo", "norte", 2),
    ("arquivo-2", "arquivo", "sul", 2),
)


def build(urls: dict[str, str]) -> document.Document:
    """Returns the initial document.

    Args:
        urls: Base URL by upstream name.
    """
    return document.Document(
        regions=tuple(
            region.Region(name=name, failure_domains=FAILURE_DOMAINS)
            for name in HANEUL_REGIONS + GRANITO_REGIONS
        ),
        organisations=(
            _organisation("haneul-merch", "merch-1", "merch-2"),
            _organisation("granito-lojas", "lojas-1"),
        ),
        services=tuple(
            service.Service(
                name=name,
                version="v1",
                max_request_s=MAX_REQUEST_S,
                warmup_s=1.0,
            )
            for name in ("store-desk", "vendor-gate", "balcao", "arquivo")
        ),
        routes=(
            route.Route(prefix="/stock", service="store-desk"),
            route.Route(
                prefix="/orders",
                service="store-desk",
                organisations=("haneul-merch",),
            ),
            route.Route(prefix="/press", service="vendor-gate"),
            route.Route(prefix="/prices", service="balcao", access="open"),
            route.Route(prefix="/deliveries", service="balcao"),
            route.Route(prefix="/documents", service="arquivo"),
        ),
        upstreams=tuple(
            upstream.Upstream(
                name=name,
                service=service_name,
                version="v1",
                region=region_name,
                failure_domain="a",
                url=urls[name],
                slots=slots,
            )
            for name, service_name, region_name, slots in UPSTREAMS
        ),
        link_caps=tuple(
            link_cap.LinkCap(source=source, target=target, requests_per_s=100.0)
            for regions in (HANEUL_REGIONS, GRANITO_REGIONS)
            for source, target in itertools.permutations(regions, 2)
        ),
        client_blocks=(
            _client_block("127.0.0.0/8", "sudo"),
            _client_block("10.1.0.0/16", "yeongnam"),
            _client_block("10.2.0.0/16", "norte"),
        ),
    )


def without_key(doc: document.Document, key_id: str) -> document.Document:
    """Returns a copy of the document without the API key."""
    return msgspec.structs.replace(
        doc,
        organisations=tuple(
            msgspec.structs.replace(
                item, keys=tuple(k for k in item.keys if k.id != key_id)
            )
            for item in doc.organisations
        ),
    )


def with_drain(doc: document.Document, name: str) -> document.Document:
    """Returns a copy of the document with a drain of the upstream added."""
    new_drain = drain.Drain(kind="upstream", target=name)
    return msgspec.structs.replace(doc, drains=(*doc.drains, new_drain))


def _organisation(name: str, *key_ids: str) -> organisation.Organisation:
    return organisation.Organisation(
        name=name,
        rate_per_s=60.0,
        burst=60.0,
        keys=tuple(
            key.Key(
                id=key_id,
                digest=hashlib.sha256(API_KEYS[key_id].encode()).hexdigest(),
            )
            for key_id in key_ids
        ),
    )


def _client_block(cidr: str, region_name: str) -> client_block.ClientBlock:
    return client_block.ClientBlock(
        cidr=cidr, region=region_name, failure_domain="a"
    )

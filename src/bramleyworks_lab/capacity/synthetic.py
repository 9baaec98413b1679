"""Generates members, client blocks and configurations of any size."""

import hashlib

import msgspec

from bramleyworks.daemon import identity
from bramleyworks.document import client_block
from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import key
from bramleyworks.document import organisation
from bramleyworks.document import region
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.document import stored_config
from bramleyworks.document import upstream
from bramleyworks.messages import heartbeat
from bramleyworks.policy import member
from bramleyworks.policy import member_table

REGIONS = 11
DOMAINS = 23
SERVICES = 8
NOW_S = 1000.0


def vm_name(number: int) -> str:
    """Returns the name of the n-th VM."""
    return f"vm-{number:05d}"


def place(number: int) -> tuple[str, str]:
    """Returns the region and the failure domain of the n-th VM."""
    domain = number % DOMAINS
    return f"region-{domain % REGIONS}", f"d{domain // REGIONS + 1}"


def vm_identity(number: int = 0) -> identity.Identity:
    """Returns the identity of the n-th VM."""
    location = place(number)
    return identity.Identity(
        vm_name(number),
        f"{number:012x}",
        *location,
        "10.0.0.1:8080",
        "10.0.0.1:9080",
    )


def make_heartbeat(number: int, sequence: int = 1) -> heartbeat.Heartbeat:
    """Returns a heartbeat of the n-th VM without counts of version moves."""
    vm = vm_identity(number)
    return heartbeat.Heartbeat(
        vm_id=vm.vm_id,
        incarnation=vm.incarnation,
        sequence=sequence,
        region=vm.region,
        failure_domain=vm.failure_domain,
        http=f"10.{number // 250 % 250}.{number % 250}.1:8080",
        peer=f"10.{number // 250 % 250}.{number % 250}.1:9080",
        config_version=7,
        fresh_age_s=0.4,
        draining=False,
        ledger_epoch=9,
        free_slots={f"service-{i}": 3 for i in range(SERVICES)},
        echo=sequence,
        echo_hold_s=0.25,
        joined=True,
        serving=True,
    )


def table(count: int) -> member_table.MemberTable:
    """Returns the member table of VM 0, with a heartbeat from each peer.

    Args:
        count: Number of peers; their heartbeats were received at ``NOW_S``.
    """
    result = member_table.MemberTable(vm_name(0))
    result.record_sent(1, NOW_S - 0.5)
    for number in range(1, count + 1):
        # Decoded messages share no strings with each other, unlike
        # heartbeats that are built here.
        data = msgspec.msgpack.encode(make_heartbeat(number))
        result.handle_heartbeat(
            msgspec.msgpack.decode(data, type=heartbeat.Heartbeat), NOW_S
        )
    return result


def members(count: int) -> dict[str, member.Member]:
    """Returns members whose heartbeats were received at ``NOW_S``."""
    return table(count).members()


def blocks(count: int) -> tuple[client_block.ClientBlock, ...]:
    """Returns adjacent blocks of 512 addresses, at the sites in turn."""
    result = []
    for number in range(count):
        first = number * 512
        location = place(number)
        result.append(
            client_block.ClientBlock(
                f"{first >> 24}.{first >> 16 & 255}.{first >> 8 & 255}.0/23",
                *location,
            )
        )
    return tuple(result)


def stored(
    upstreams: int, version: int = 1, changed: bool = False
) -> stored_config.StoredConfig:
    """Returns a stored configuration, decoded as if read from the store.

    Args:
        upstreams: Number of upstreams; there is one organisation per
            eight upstreams, at least one.
        version: Version of the configuration.
        changed: Whether one upstream has a different number of slots.
    """
    regions = tuple(
        region.Region(
            f"region-{i}", ("d1", "d2", "d3") if i == 0 else ("d1", "d2")
        )
        for i in range(REGIONS)
    )
    doc = document.Document(
        regions=regions,
        organisations=tuple(
            organisation.Organisation(
                f"org-{i}",
                100.0,
                200.0,
                keys=(
                    key.Key("k", hashlib.sha256(f"{i}".encode()).hexdigest()),
                ),
            )
            for i in range(max(1, upstreams // 8))
        ),
        services=tuple(
            service.Service(f"service-{i}", "v1") for i in range(SERVICES)
        ),
        routes=tuple(
            route.Route(f"/service-{i}", f"service-{i}")
            for i in range(SERVICES)
        ),
        upstreams=tuple(
            upstream.Upstream(
                name=f"up-{i}",
                service=f"service-{i % SERVICES}",
                version="v1",
                region=f"region-{i % REGIONS}",
                failure_domain="d1",
                url=f"http://10.{i // 250 % 250}.{i % 250}.2:8000",
                slots=6 if changed and i == upstreams // 2 else 5,
            )
            for i in range(upstreams)
        ),
    )
    value = stored_config.StoredConfig(
        version, f"id-{version}", "ops", 0.0, doc
    )
    return codec.decode_stored(codec.encode_stored(value)).unwrap()


def make_heartbeat_with_moves(moves: int) -> heartbeat.Heartbeat:
    """Returns a heartbeat with counts of one route in each of the moves."""
    counts = {
        f"move-{i}/service-{i}/{version}": [120_000, 40, 119_960, 900] * 2
        for i in range(moves)
        for version in ("v1", "v2")
    }
    return msgspec.structs.replace(make_heartbeat(1), counts=counts)

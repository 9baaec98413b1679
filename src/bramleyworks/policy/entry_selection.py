"""Selection of the entry VMs that a lookup returns to a caller."""

import hashlib
from collections.abc import Iterable

from bramleyworks.policy import entry_vm
from bramleyworks.policy import fleet_view
from bramleyworks.policy import site

LOOKUP_TTL_S = 5
MAX_VMS = 3
# Clients of a block share a cached response, so the block is hashed and not the
# address.
CLIENT_BLOCK_OCTETS = 3


def candidates(
    view: fleet_view.FleetView,
    own_vm: entry_vm.EntryVm | None,
    listed: Iterable[entry_vm.EntryVm],
    drained: frozenset[str] = frozenset(),
) -> list[entry_vm.EntryVm]:
    """Returns the VMs that a lookup may return.

    A VM that is partitioned from the others knows of no serving VM, itself
    included. It then returns the VMs on the platform's list that it receives no
    heartbeats from, because callers may still reach them.

    Args:
        view: This daemon's view of the fleet.
        own_vm: This VM, None while it drains or does not serve.
        listed: VMs on the platform's list that are not leaving.
        drained: Names of the VMs that the document drains; returned only if
            no other VM is available.
    """
    found = [
        entry_vm.EntryVm(
            name,
            item.heartbeat.http,
            site.Site(item.heartbeat.region, item.heartbeat.failure_domain),
        )
        for name, item in view.live.items()
        if item.heartbeat.serving
        and not item.heartbeat.draining
        and name not in view.leaving
    ]
    if own_vm is not None and own_vm.vm_id not in view.leaving:
        found.append(own_vm)
    if found:
        return [vm for vm in found if vm.vm_id not in drained] or found
    return [
        vm
        for vm in listed
        if vm.vm_id != view.self_id and vm.vm_id not in view.live
    ]


def choose(
    candidates: Iterable[entry_vm.EntryVm],
    client: str,
    nearest_site: site.Site | None,
) -> tuple[entry_vm.EntryVm, ...]:
    """Returns up to ``MAX_VMS`` VMs in order of preference.

    VMs of the client's site come first, then those of its region, then all
    others. Within each group rendezvous hashing spreads client blocks, so that
    when a VM leaves only its own clients change VM.

    Args:
        candidates: VMs that are live and not draining.
        client: Address of the client.
        nearest_site: Site nearest to the client, None if unknown.
    """
    block = client.rsplit(".", 4 - CLIENT_BLOCK_OCTETS)[0]

    def sort_key(vm: entry_vm.EntryVm) -> tuple[int, bytes]:
        distance = 0
        if nearest_site is not None:
            distance = (
                0
                if vm.site == nearest_site
                else 1
                if vm.site.region == nearest_site.region
                else 2
            )
        digest = hashlib.blake2b(
            f"{block}\0{vm.vm_id}".encode(), digest_size=8
        ).digest()
        return distance, digest

    return tuple(sorted(candidates, key=sort_key)[:MAX_VMS])

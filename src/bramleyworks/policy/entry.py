"""Which entry VMs a caller should use."""

import hashlib
from collections.abc import Iterable

from bramleyworks.policy import entry_vm
from bramleyworks.policy import site

TTL_S = 5
MAX_NAMED = 3
# Clients in one block share an answer, so the hash uses the block.
BLOCK_PREFIX_OCTETS = 3


def choose(
    candidates: Iterable[entry_vm.EntryVm],
    client: str,
    nearest: site.Site | None,
) -> tuple[entry_vm.EntryVm, ...]:
    """Returns up to three VMs in order of preference.

    VMs of the client's site come first, then those of its region, then all
    others; within each group rendezvous hashing spreads client blocks, and a
    VM that leaves moves only its own clients.

    Args:
        candidates: VMs that are live and not draining.
        client: Address of the client.
        nearest: Site nearest to the client, None if it is not known.
    """
    block = client.rsplit(".", 4 - BLOCK_PREFIX_OCTETS)[0]

    def rank(vm: entry_vm.EntryVm) -> tuple[int, bytes]:
        distance = 0
        if nearest is not None:
            distance = (
                0
                if vm.site == nearest
                else 1
                if vm.site.region == nearest.region
                else 2
            )
        digest = hashlib.blake2b(
            f"{block}\0{vm.vm_id}".encode(), digest_size=8
        ).digest()
        return distance, digest

    return tuple(sorted(candidates, key=rank)[:MAX_NAMED])

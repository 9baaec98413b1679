"""Ranking of VMs by rendezvous hash."""

import hashlib
from collections.abc import Iterable


def rank(key: str, vm_ids: Iterable[str]) -> list[str]:
    """Orders VMs by rendezvous hash of a key, best first.

    VMs with the same view of the fleet compute the same order without any
    coordination.
    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """

    def weight(vm_id: str) -> bytes:
        text = f"{len(key)}:{key}{vm_id}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(vm_ids, key=lambda vm_id: (weight(vm_id), vm_id))

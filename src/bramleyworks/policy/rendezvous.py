"""Rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def weight(key: str, node: str) -> int:
    """Returns the weight of a node for a key; the highest comes first."""
    digest = hashlib.blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes in their order for a key.

    Removing a node moves only the keys that it came first for.
    """
    return sorted(nodes, key=lambda node: weight(key, node), reverse=True)

"""Rendezvous (highest random weight) hashing."""

import hashlib
import math
from collections.abc import Iterable
from collections.abc import Mapping

_BITS = 64


def weight(key: str, node: str) -> int:
    """Returns the weight of a node for a key; the highest weight wins."""
    digest = hashlib.blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes in order of preference for a key.

    Removing a node moves only the keys for which it came first.
    """
    return sorted(nodes, key=lambda node: weight(key, node), reverse=True)


def fraction(key: str, salt: str) -> float:
    """Returns a number between 0 and 1 determined by a key and a salt."""
    return (weight(key, salt) + 0.5) / 2**_BITS


def pick(key: str, shares: Mapping[str, float]) -> str | None:
    """Returns the node of a key, with keys distributed by the given shares.

    A change of the shares moves only the fraction of keys by which they change
    (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
    """
    best = None
    best_score = math.inf
    for node, share in shares.items():
        if share <= 0.0:
            continue
        score = -math.log(fraction(key, node)) / share
        if score < best_score:
            best, best_score = node, score
    return best

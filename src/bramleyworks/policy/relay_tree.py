"""The tree along which configuration is announced."""

import hashlib

FANOUT = 16
WATCHERS_PER_REGION = 2


def _weight(salt: str, name: str) -> bytes:
    return hashlib.blake2b(f"{salt}\0{name}".encode(), digest_size=8).digest()


def watchers(names: list[str], region: str) -> frozenset[str]:
    """Returns the members of one region that watch the store.

    Rendezvous hashing: members with different views differ in few watchers,
    and a watcher too many only costs calls.
    """
    ranked = sorted(names, key=lambda name: _weight(region, name))
    return frozenset(ranked[:WATCHERS_PER_REGION])


def children(index: int, count: int) -> range:
    """Returns the children of a position in the heap-shaped tree."""
    first = index * FANOUT + 1
    return range(min(first, count), min(first + FANOUT, count))


def parents(index: int, count: int) -> tuple[int, ...]:
    """Returns the parent of a position and a second one for its failure."""
    if index == 0:
        return ()
    first = (index - 1) // FANOUT
    second = first + 1 if first + 1 < index else first - 1
    if not 0 <= second < count:
        return (first,)
    return (first, second)


def neighbours(names: list[str], self_id: str) -> frozenset[str]:
    """Returns the members that one member exchanges heartbeats with.

    Args:
        names: All members including this one, in any order.
        self_id: This member.

    Returns:
        Everyone else in a fleet of up to ``FANOUT`` members, otherwise its
        parents and children in the tree over the sorted names.
    """
    ordered = sorted(set(names) | {self_id})
    if len(ordered) <= FANOUT:
        return frozenset(ordered) - {self_id}
    index = ordered.index(self_id)
    near = {ordered[i] for i in parents(index, len(ordered))}
    near.update(ordered[i] for i in children(index, len(ordered)))
    for position in _secondary_children(index, len(ordered)):
        near.add(ordered[position])
    return frozenset(near - {self_id})


def _secondary_children(index: int, count: int) -> list[int]:
    """Returns the positions that have this one as their second parent."""
    candidates = []
    for first in (index - 1, index + 1):
        if first >= 0:
            candidates.extend(children(first, count))
    return [child for child in candidates if index in parents(child, count)[1:]]

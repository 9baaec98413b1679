"""Relay tree along which configuration versions are announced."""

import hashlib

FANOUT = 16
WATCHERS_PER_REGION = 2


def _weight(salt: str, name: str) -> bytes:
    return hashlib.blake2b(f"{salt}\0{name}".encode(), digest_size=8).digest()


def watchers(names: list[str], region: str) -> frozenset[str]:
    """Returns the members of a region that watch the store.

    Chosen by rendezvous hashing, so that members with different views of the
    fleet disagree on few watchers. An extra watcher only costs store calls.
    """
    ranked = sorted(names, key=lambda name: _weight(region, name))
    return frozenset(ranked[:WATCHERS_PER_REGION])


def children(index: int, count: int) -> range:
    """Returns the children of a position in the tree, numbered as in a heap."""
    first = index * FANOUT + 1
    return range(min(first, count), min(first + FANOUT, count))


def parents(index: int, count: int) -> tuple[int, ...]:
    """Returns the parent of a position and a second one in case it fails."""
    if index == 0:
        return ()
    first = (index - 1) // FANOUT
    second = first + 1 if first + 1 < index else first - 1
    if not 0 <= second < count:
        return (first,)
    return (first, second)


def neighbours(names: list[str], self_id: str) -> frozenset[str]:
    """Returns the members that a member exchanges heartbeats with.

    Args:
        names: All members, in any order.
        self_id: Name of the member.

    Returns:
        All others in a fleet of up to ``FANOUT`` members, otherwise the
        member's parents and children in the tree over the sorted names.
    """
    ordered = sorted(set(names) | {self_id})
    if len(ordered) <= FANOUT:
        return frozenset(ordered) - {self_id}
    index = ordered.index(self_id)
    linked = {ordered[i] for i in parents(index, len(ordered))}
    linked.update(ordered[i] for i in children(index, len(ordered)))
    for position in _secondary_children(index, len(ordered)):
        linked.add(ordered[position])
    return frozenset(linked - {self_id})


def _secondary_children(index: int, count: int) -> list[int]:
    """Returns the positions whose second parent is this one."""
    candidates = []
    for first in (index - 1, index + 1):
        if first >= 0:
            candidates.extend(children(first, count))
    return [child for child in candidates if index in parents(child, count)[1:]]

"""Whether a daemon can have missed an accepted configuration."""

from collections.abc import Mapping

from bramleyworks.policy import member

# A withdrawn key must stop within 3 s (invariant I5), so evidence that no
# newer version was accepted may not be older than that.
MAX_FRESH_AGE_S = 3.0


def confirmed_s(
    version: int,
    own_read_s: float,
    members: Mapping[str, member.Member],
    listed: frozenset[str] | None,
    self_id: str,
    joined: bool,
    now_s: float,
) -> float:
    """Returns the time up to which a version is known to be the newest.

    Args:
        version: Version in force here, 0 for none.
        own_read_s: When the newest store read that confirms it was sent.
        members: All members heard of.
        listed: VMs on the platform's list, None if it was never read.
        self_id: This VM.
        joined: Whether this process was fresh before.
        now_s: Current time.

    Returns:
        A monotonic time; ``-inf`` if the version was never confirmed or a
        newer one is known.
    """
    if version == 0:
        return float("-inf")
    newest = max(
        (known.heartbeat.config_version for known in members.values()),
        default=0,
    )
    if newest > version:
        return float("-inf")
    relayed_s = max(
        (
            known.as_of_s - max(0.0, known.heartbeat.fresh_age_s)
            for known in members.values()
            if known.heartbeat.config_version > 0
        ),
        default=float("-inf"),
    )
    return max(
        own_read_s,
        min(relayed_s, now_s),
        majority_confirmed_s(members, listed, self_id, joined, now_s),
    )


def majority_confirmed_s(
    members: Mapping[str, member.Member],
    listed: frozenset[str] | None,
    self_id: str,
    joined: bool,
    now_s: float,
) -> float:
    """Returns the time at which a majority of the listed VMs was heard.

    An accepted version is in force on a majority, so a majority without a
    newer version shows that none was accepted before that time. A process
    that restarted has lost what it knew and counts only once it has joined.
    """
    if not listed:
        return float("-inf")
    own_s = now_s if joined else float("-inf")
    times = sorted(
        (
            own_s if name == self_id else _as_of_s(members, name)
            for name in listed
        ),
        reverse=True,
    )
    return times[len(listed) // 2]


def _as_of_s(members: Mapping[str, member.Member], name: str) -> float:
    known = members.get(name)
    if known is None or not known.heartbeat.joined:
        return float("-inf")
    return known.as_of_s


def is_fresh(confirmed_at_s: float, now_s: float) -> bool:
    """Returns whether routes that need a key may be served."""
    return now_s - confirmed_at_s <= MAX_FRESH_AGE_S

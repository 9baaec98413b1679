"""Whether a daemon may have missed an accepted configuration."""

from collections.abc import Mapping

from bramleyworks.policy import member

# A withdrawn key must be rejected within 3 s everywhere, so evidence that no
# newer version was accepted must not be older than that.
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
    """Returns the latest time at which a version is known to be the newest.

    Args:
        version: Version in force on this VM, 0 for none.
        own_read_s: When the latest store read that confirms it was sent.
        members: All known members by name.
        listed: Names of the VMs on the platform's list, None if it was never
            read.
        self_id: Name of this VM.
        joined: Whether this process has been fresh before.
        now_s: Monotonic time in seconds.

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
    """Returns the time as of which the state of a majority is known.

    An accepted version is in force on a majority of the listed VMs, so a
    majority without a newer version proves that none was accepted before that
    time. A restarted process has lost its state and counts only once it has
    joined.

    Args:
        members: All known members by name.
        listed: Names of the VMs on the platform's list, None if it was never
            read.
        self_id: Name of this VM.
        joined: Whether this process has been fresh before.
        now_s: Monotonic time in seconds.

    Returns:
        A monotonic time; ``-inf`` without a majority.
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
    """Returns whether routes that require a key may be served."""
    return now_s - confirmed_at_s <= MAX_FRESH_AGE_S

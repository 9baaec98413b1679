"""The heartbeat between entry VMs.

Most of a heartbeat's bytes tell of organisations and members that seldom
change, and bytes between failure domains are dear. Between two whole
heartbeats only changes are sent. They are absolute values, so a lost datagram
costs nothing but the age of what it told.
"""

import msgspec

from bramleyworks.gateway import vm as vm_module


class MoveReport(msgspec.Struct, frozen=True, array_like=True):
    """What a VM knows about the move of one service.

    Attributes:
        order: Revision of the order.
        elapsed_s: Time since the move began.
        is_cut: Whether the new version was found to be bad.
        has_left: Whether no request of this VM runs on the old version any
            more, and none will be sent there.
        counts: Answers and bad answers by ``VERSION ROUTE``.
    """

    order_revision: int
    elapsed_s: float
    is_aborted: bool
    is_drained: bool
    counts: dict[str, tuple[int, int]]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """State of a VM; the newest one replaces all before it.

    Attributes:
        vm: The sender.
        number: Grows with each heartbeat of an incarnation.
        is_ready: Whether it takes callers.
        revision: Store revision up to which it knows all changes.
        store_age_s: Time since it heard from the store itself.
        demand: Slots that its callers' requests would fill, by service.
        use: Requests admitted since its start, and tenths of a request per
            second that it was asked to admit, by organisation.
        in_flight: Running requests by upstream.
        moves: Moves by service.
        loads: Requests at upstreams as these told the sender lately, or, for
            a region, any of its VMs, and hundredths of a second since then.
        members: Entry addresses of the VMs that take callers, by id, if it
            speaks for all VMs of its region; else empty.
        speaks_for: VMs that it speaks for, 0 if for itself alone.
        is_whole: Whether ``use`` and ``members`` are complete. Else ``use``
            has what changed since the last whole heartbeat, and ``members``
            is left out since it did not change.
    """

    vm: vm_module.Vm
    sequence: int
    is_ready: bool
    revision: int
    store_age_s: float
    demand: dict[str, float]
    usage: dict[str, tuple[int, int]]
    in_flight: dict[str, int]
    moves: dict[str, MoveReport]
    loads: dict[str, tuple[int, int]] = {}
    members: dict[str, str] = {}
    covered_vms: int = 0
    is_full: bool = True


class DeltaEncoder:
    """Leaves out of a sender's heartbeats what has not changed."""

    def __init__(self, full_every: int):
        """Starts with a whole heartbeat.

        Args:
            whole_every: Heartbeats from one whole one to the next.
        """
        self._full_every = full_every
        self._last_full: Heartbeat | None = None
        self._sent_since_full = 0

    def reset(self) -> None:
        """Makes the next heartbeat a whole one."""
        self._last_full = None

    def encode(self, heartbeat: Heartbeat) -> Heartbeat:
        """Returns the heartbeat as it is to be sent."""
        last_full = self._last_full
        self._sent_since_full += 1
        if (
            last_full is None
            or self._sent_since_full >= self._full_every
            or heartbeat.members != last_full.members
        ):
            self._last_full = heartbeat
            self._sent_since_full = 0
            return heartbeat
        removed = last_full.usage.keys() - heartbeat.usage.keys()
        changed = {
            name: use
            for name, use in heartbeat.usage.items()
            if use != last_full.usage.get(name)
        }
        return msgspec.structs.replace(
            heartbeat,
            usage=changed | dict.fromkeys(removed, (0, 0)),
            members={},
            is_full=False,
        )


def apply_delta(
    heartbeat: Heartbeat, previous: Heartbeat | None
) -> Heartbeat | None:
    """Returns a received heartbeat with what its sender left out.

    Args:
        beat: The heartbeat.
        known: The last completed one of the same VM.

    Returns:
        A whole heartbeat; None if it can not be completed.
    """
    if heartbeat.is_full:
        return heartbeat
    if previous is None or previous.vm.incarnation != heartbeat.vm.incarnation:
        return None
    return msgspec.structs.replace(
        heartbeat,
        usage=previous.usage | heartbeat.usage,
        members=previous.members,
        is_full=True,
    )

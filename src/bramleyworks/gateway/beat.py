"""The heartbeat between entry VMs."""

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

    order: int
    elapsed_s: float
    is_cut: bool
    has_left: bool
    counts: dict[str, tuple[int, int]]


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """State of a VM; the newest one replaces all before it.

    Attributes:
        vm: The sender.
        number: Grows with each heartbeat of an incarnation.
        is_ready: Whether it takes callers.
        revision: Store revision up to which it knows all changes.
        store_age_s: Time since it heard from the store itself.
        demand: Slots that its callers' requests would fill, by service.
        use: Requests admitted since its start, and requests per second that
            it was asked to admit, by organisation.
        in_flight: Running requests by upstream.
        moves: Moves by service.
        members: Entry addresses of the VMs that take callers, by id, if it
            speaks for all VMs of its region; else empty.
        speaks_for: VMs that it speaks for, 0 if for itself alone.
    """

    vm: vm_module.Vm
    number: int
    is_ready: bool
    revision: int
    store_age_s: float
    demand: dict[str, float]
    use: dict[str, tuple[int, float]]
    in_flight: dict[str, int]
    moves: dict[str, MoveReport]
    members: dict[str, str] = {}
    speaks_for: int = 0

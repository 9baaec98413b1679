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
        demand: Slots that its callers' requests would fill, by service.
        rates: Requests per second by organisation.
        in_flight: Running requests by upstream.
        moves: Moves by service.
    """

    vm: vm_module.Vm
    number: int
    is_ready: bool
    revision: int
    demand: dict[str, float]
    rates: dict[str, float]
    in_flight: dict[str, int]
    moves: dict[str, MoveReport]

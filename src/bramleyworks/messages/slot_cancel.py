"""Cancellation of an ask for a slot."""

import msgspec


class SlotCancel(msgspec.Struct, frozen=True, tag="slot_cancel"):
    """The sender no longer waits and will not use a loan for this ask.

    Attributes:
        ask_id: Id of the ask.
    """

    ask_id: int

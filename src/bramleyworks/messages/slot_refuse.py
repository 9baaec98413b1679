"""Refusal of an ask for a slot."""

import msgspec


class SlotRefuse(msgspec.Struct, frozen=True, tag="slot_refuse"):
    """The owner has no slot to lend.

    Attributes:
        ask_id: Id of the ask it answers.
        reason: Why there is none.
    """

    ask_id: int
    reason: str

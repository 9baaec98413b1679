"""Acknowledgement of a slot release."""

import msgspec


class SlotReturned(msgspec.Struct, frozen=True, tag="slot_returned"):
    """The owner has ended the loan, now or earlier.

    Attributes:
        loan_id: Id of the loan at the owner.
    """

    loan_id: int

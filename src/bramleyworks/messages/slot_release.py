"""End of a slot loan."""

import msgspec


class SlotRelease(msgspec.Struct, frozen=True, tag="slot_release"):
    """The request that used the slot has ended.

    Attributes:
        loan_id: Id of the loan at the owner.
        failed: Whether the upstream failed.
        used: Whether there is an outcome that says something about the
            upstream; False if no request was sent or its caller disconnected.
    """

    loan_id: int
    failed: bool = False
    used: bool = True

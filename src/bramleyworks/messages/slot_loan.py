"""Loan of a slot for one request."""

import msgspec


class SlotLoan(msgspec.Struct, frozen=True, tag="slot_loan"):
    """Loan of one slot of one upstream for one request.

    Attributes:
        ask_id: Id of the ask it answers.
        loan_id: Id of the loan at the owner.
        upstream: Name of the upstream.
        waited_s: Seconds that the ask waited at the owner.
        lifetime_s: Seconds after the ask was sent until the loan expires.
        busy: Whether more than 70% of the upstream's slots are in use,
            including this one.
    """

    ask_id: int
    loan_id: int
    upstream: str
    waited_s: float
    lifetime_s: float
    busy: bool = False

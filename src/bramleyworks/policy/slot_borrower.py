"""Slot loans at the borrower: pending loan requests and loans in use."""

import dataclasses
from typing import Any

from bramleyworks.messages import slot_loan
from bramleyworks.policy import slot_owner


@dataclasses.dataclass(frozen=True, slots=True)
class PendingAsk:
    """A loan request without a response yet.

    Attributes:
        owner: VM that the request was sent to.
        item: Opaque value of the caller, returned with the response.
        sent_s: Monotonic time at which it was sent.
    """

    owner: str
    item: Any
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoanDecision:
    """What to do with a received loan.

    Attributes:
        ask: The pending request that it answers, None if there is none.
        start_by_s: Monotonic time from which the request must not start.
        end_s: Monotonic time by which the request must have ended.
        release_now: Whether to release the loan without using it.
    """

    ask: PendingAsk | None
    start_by_s: float
    end_s: float
    release_now: bool


class Borrower:
    """Matches loans to pending requests; each loan is used at most once.

    A mutable class for the same reason as ``SlotOwner``. Methods take the
    monotonic time.
    """

    def __init__(self, incarnation: str):
        self._next_id = slot_owner.id_base(incarnation)
        self._asks: dict[int, PendingAsk] = {}
        self._in_use: set[tuple[str, int]] = set()

    def record_ask(self, owner: str, item: Any, now_s: float) -> int:
        """Records a loan request that is about to be sent; returns its id."""
        self._next_id += 1
        self._asks[self._next_id] = PendingAsk(owner, item, now_s)
        return self._next_id

    def on_loan(
        self, sender: str, loan: slot_loan.SlotLoan, now_s: float
    ) -> LoanDecision:
        """Decides whether to use, release or ignore a received loan.

        A loan that is already in use is a duplicate message and must not be
        released. Any other loan without a pending request is released.
        """
        if (sender, loan.loan_id) in self._in_use:
            return LoanDecision(None, 0.0, 0.0, False)
        ask = self._asks.get(loan.ask_id)
        if ask is None or ask.owner != sender:
            return LoanDecision(None, 0.0, 0.0, True)
        del self._asks[loan.ask_id]
        end_s = ask.sent_s + loan.lifetime_s
        # Counted from the time of sending, which precedes the owner's grant,
        # so the clocks of the two VMs need not agree.
        start_by_s = min(
            ask.sent_s + loan.waited_s + slot_owner.LOAN_START_TIMEOUT_S, end_s
        )
        if now_s >= start_by_s:
            return LoanDecision(ask, start_by_s, end_s, True)
        self._in_use.add((sender, loan.loan_id))
        return LoanDecision(ask, start_by_s, end_s, False)

    def on_refuse(self, sender: str, ask_id: int) -> PendingAsk | None:
        """Removes and returns a refused request, None if it is not pending."""
        ask = self._asks.get(ask_id)
        if ask is None or ask.owner != sender:
            return None
        return self._asks.pop(ask_id)

    def cancel(self, ask_id: int) -> PendingAsk | None:
        """Removes and returns a request, None if it is not pending."""
        return self._asks.pop(ask_id, None)

    def finish(self, owner: str, loan_id: int) -> bool:
        """Ends the use of a loan; False if it is not in use."""
        key = (owner, loan_id)
        if key not in self._in_use:
            return False
        self._in_use.remove(key)
        return True

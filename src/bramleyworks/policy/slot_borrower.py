"""Asks for slots and loans in use, at the VM that borrows."""

import dataclasses
from typing import Any

from bramleyworks.messages import slot_loan
from bramleyworks.policy import slot_owner


@dataclasses.dataclass(frozen=True, slots=True)
class PendingAsk:
    """An ask without an answer yet.

    Attributes:
        owner: VM that was asked.
        item: What the asker associates with it.
        sent_s: Monotonic time at which it was sent.
    """

    owner: str
    item: Any
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoanDecision:
    """What to do with a loan that arrived.

    Attributes:
        ask: The ask it answers, None if nobody waits for it any more.
        start_by_s: Monotonic time from which the request must not begin.
        end_s: Monotonic time by which the request must have been cancelled.
        release_now: Whether the loan is released at once.
    """

    ask: PendingAsk | None
    start_by_s: float
    end_s: float
    release_now: bool


class Borrower:
    """Matches loans to asks; each loan is used at most once.

    A mutable class whose methods take the time, like ``SlotOwner``.
    """

    def __init__(self, incarnation: str):
        self._next_id = slot_owner.id_base(incarnation)
        self._asks: dict[int, PendingAsk] = {}
        self._in_use: set[tuple[str, int]] = set()

    def record_ask(self, owner: str, item: Any, now_s: float) -> int:
        """Notes an ask and returns its id."""
        self._next_id += 1
        self._asks[self._next_id] = PendingAsk(owner, item, now_s)
        return self._next_id

    def on_loan(
        self, sender: str, loan: slot_loan.SlotLoan, now_s: float
    ) -> LoanDecision:
        """Decides what happens with a loan.

        A loan of a request that runs already is a repeat and must not be
        released; every other loan without a waiting ask is.
        """
        if (sender, loan.loan_id) in self._in_use:
            return LoanDecision(None, 0.0, 0.0, False)
        ask = self._asks.get(loan.ask_id)
        if ask is None or ask.owner != sender:
            return LoanDecision(None, 0.0, 0.0, True)
        del self._asks[loan.ask_id]
        end_s = ask.sent_s + loan.lifetime_s
        # Counted from before the owner's grant, so without its clock.
        start_by_s = min(
            ask.sent_s + loan.waited_s + slot_owner.LOAN_START_TIMEOUT_S, end_s
        )
        if now_s >= start_by_s:
            return LoanDecision(ask, start_by_s, end_s, True)
        self._in_use.add((sender, loan.loan_id))
        return LoanDecision(ask, start_by_s, end_s, False)

    def on_refuse(self, sender: str, ask_id: int) -> PendingAsk | None:
        """Ends an ask; returns it unless it has ended already."""
        ask = self._asks.get(ask_id)
        if ask is None or ask.owner != sender:
            return None
        return self._asks.pop(ask_id)

    def cancel(self, ask_id: int) -> PendingAsk | None:
        """Ends an ask nobody waits for; returns it if it was open."""
        return self._asks.pop(ask_id, None)

    def finish(self, owner: str, loan_id: int) -> bool:
        """Ends the use of a loan; False if it has ended already."""
        key = (owner, loan_id)
        if key not in self._in_use:
            return False
        self._in_use.remove(key)
        return True

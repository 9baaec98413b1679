"""Slot loans at the owner: grants, refusals and releases."""

import collections
import dataclasses

from bramleyworks.messages import codec
from bramleyworks.messages import slot_ask
from bramleyworks.messages import slot_cancel
from bramleyworks.messages import slot_loan
from bramleyworks.messages import slot_refuse
from bramleyworks.messages import slot_release
from bramleyworks.policy import queue_entry
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import slot_owner
from bramleyworks.policy import slot_use

# Loan requests are kept to recognise duplicates and cancellations. Dropping one
# costs at most an unused loan that is released at once, so the number is
# bounded.
ASK_RETENTION_S = 15.0
MAX_RETAINED_ASKS = 20_000

OutgoingMessages = list[tuple[str, codec.Message]]


@dataclasses.dataclass(frozen=True, slots=True)
class LoanAsk:
    """A loan request of another VM, as the item of a queue entry.

    Attributes:
        borrower: VM that sent the request.
        ask_id: Id of the request at the borrower.
        arrived_s: Monotonic time at which it was received.
    """

    borrower: str
    ask_id: int
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _AskRecord:
    """State of a loan request: queued, lent, or neither."""

    entry: queue_entry.QueueEntry | None = None
    pool: slot_owner.PoolKey | None = None
    loan: slot_loan.SlotLoan | None = None


class Lender:
    """Handles loan requests of other VMs with the owner's slots and queues.

    A mutable class for the same reason as ``SlotOwner``. Messages may be lost,
    duplicated, delayed and reordered: a request gets at most one loan, a
    duplicate gets the same loan, and a cancellation also applies to a request
    that arrives after it.
    """

    def __init__(self, owner: slot_owner.SlotOwner):
        self._owner = owner
        self._asks: collections.OrderedDict[
            tuple[str, int], tuple[float, _AskRecord]
        ] = collections.OrderedDict()

    def on_ask(
        self, sender: str, ask: slot_ask.SlotAsk, now_s: float
    ) -> OutgoingMessages:
        """Lends a slot, or queues or refuses the request."""
        key = (sender, ask.ask_id)
        if key in self._asks:
            record = self._asks[key][1]
            return [(sender, record.loan)] if record.loan else []
        self._owner.count_request(ask.service, ask.version, now_s)
        region = ask.target or ask.region
        pool = (ask.service, ask.version, region)
        foreign = region != ask.region
        if not self._owner.has_usable_upstream(pool):
            return [(sender, slot_refuse.SlotRefuse(ask.ask_id, "no upstream"))]
        use = self._owner.acquire(
            pool, ask.organisation, ask.exclude, now_s, sender, foreign
        )
        if use is not None:
            item = LoanAsk(sender, ask.ask_id, now_s)
            return [self.make_loan(item, use, now_s)]
        if foreign or ask.wait_ms <= 0.0:
            return [(sender, slot_refuse.SlotRefuse(ask.ask_id, "no slot"))]
        entry = self._owner.enqueue(
            pool,
            ask.organisation,
            LoanAsk(sender, ask.ask_id, now_s),
            now_s + ask.wait_ms / 1000.0,
            ask.exclude,
            now_s,
        )
        if entry is None:
            return [(sender, slot_refuse.SlotRefuse(ask.ask_id, "queue full"))]
        self._record(key, _AskRecord(entry, pool), now_s)
        return []

    def make_loan(
        self, item: LoanAsk, use: slot_use.SlotUse, now_s: float
    ) -> tuple[str, codec.Message]:
        """Records a loan and returns the message that grants it."""
        loan = slot_loan.SlotLoan(
            item.ask_id,
            use.use_id,
            use.upstream,
            use.taken_s - item.arrived_s,
            # The borrower counts from the time of sending, which precedes
            # the arrival here, so its deadline is before the owner's.
            use.end_s - item.arrived_s,
            use.busy,
        )
        self._record((item.borrower, item.ask_id), _AskRecord(loan=loan), now_s)
        return (item.borrower, loan)

    def on_cancel(
        self, sender: str, msg: slot_cancel.SlotCancel, now_s: float
    ) -> slot_use.SlotUse | None:
        """Removes a queued request or ends its loan.

        Returns:
            The use of the slot that ended, None if there was none.
        """
        key = (sender, msg.ask_id)
        record = self._asks.get(key, (0.0, _AskRecord()))[1]
        self._record(key, _AskRecord(), now_s)
        if record.entry is not None:
            self._owner.remove(record.pool, record.entry)
        if record.loan is not None:
            return self._owner.release(
                record.loan.loan_id, slot_outcome.SlotOutcome.NEUTRAL, now_s
            )
        return None

    def on_release(
        self, sender: str, msg: slot_release.SlotRelease, now_s: float
    ) -> slot_use.SlotUse | None:
        """Ends a loan; returns None if it has already ended."""
        del sender
        if not msg.used:
            outcome = slot_outcome.SlotOutcome.NEUTRAL
        elif msg.failed:
            outcome = slot_outcome.SlotOutcome.FAILED
        else:
            outcome = slot_outcome.SlotOutcome.OK
        return self._owner.release(msg.loan_id, outcome, now_s)

    def make_refusal(self, item: LoanAsk) -> tuple[str, codec.Message]:
        """Returns the refusal of a request that expired in the queue."""
        return (
            item.borrower,
            slot_refuse.SlotRefuse(item.ask_id, "deadline"),
        )

    def expire_asks(self, now_s: float) -> None:
        """Drops old requests; at most ``MAX_RETAINED_ASKS`` are kept."""
        while self._asks:
            key, (at_s, _) = next(iter(self._asks.items()))
            recent = now_s - at_s < ASK_RETENTION_S
            if recent and len(self._asks) <= MAX_RETAINED_ASKS:
                break
            del self._asks[key]

    def _record(self, key, record: _AskRecord, now_s: float) -> None:
        self._asks[key] = (now_s, record)
        self._asks.move_to_end(key)

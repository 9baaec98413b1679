"""Loans of slots to other VMs, at the owner."""

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

# Asks are remembered to recognise their repeats and cancellations. A forgotten
# one costs an unused loan that comes back at once, so the memory is bounded.
ASK_RETENTION_S = 15.0
MAX_RETAINED_ASKS = 20_000

OutgoingMessages = list[tuple[str, codec.Message]]


@dataclasses.dataclass(frozen=True, slots=True)
class LoanAsk:
    """An ask of another VM, as it waits in the queue.

    Attributes:
        borrower: VM that asked.
        ask_id: Its id there.
        arrived_s: Monotonic time at which it arrived here.
    """

    borrower: str
    ask_id: int
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _AskRecord:
    """What became of an ask: queued, lent, or neither."""

    entry: queue_entry.QueueEntry | None = None
    pool: slot_owner.PoolKey | None = None
    loan: slot_loan.SlotLoan | None = None


class Lender:
    """Answers asks of other VMs from the owner's slots and queues.

    A mutable class for the same reason as ``SlotOwner``. Messages may be lost,
    repeated, delayed and reordered: an ask is answered once, a repeat gets the
    same loan, and a cancellation is remembered for an ask that comes later.
    """

    def __init__(self, owner: slot_owner.SlotOwner):
        self._owner = owner
        self._asks: collections.OrderedDict[
            tuple[str, int], tuple[float, _AskRecord]
        ] = collections.OrderedDict()

    def on_ask(
        self, sender: str, ask: slot_ask.SlotAsk, now_s: float
    ) -> OutgoingMessages:
        """Lends a slot, queues the ask or refuses it."""
        key = (sender, ask.ask_id)
        if key in self._asks:
            known = self._asks[key][1]
            return [(sender, known.loan)] if known.loan else []
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
        """Returns the message that gives a slot to a waiting ask."""
        loan = slot_loan.SlotLoan(
            item.ask_id,
            use.use_id,
            use.upstream,
            use.taken_s - item.arrived_s,
            # The asker counts from when it sent the ask, which is earlier
            # than its arrival, so its deadline is before the owner's.
            use.end_s - item.arrived_s,
            use.busy,
        )
        self._record((item.borrower, item.ask_id), _AskRecord(loan=loan), now_s)
        return (item.borrower, loan)

    def on_cancel(
        self, sender: str, msg: slot_cancel.SlotCancel, now_s: float
    ) -> slot_use.SlotUse | None:
        """Drops a queued ask or takes its loan back.

        Returns:
            The use that ended, if any.
        """
        key = (sender, msg.ask_id)
        known = self._asks.get(key, (0.0, _AskRecord()))[1]
        self._record(key, _AskRecord(), now_s)
        if known.entry is not None:
            self._owner.remove(known.pool, known.entry)
        if known.loan is not None:
            return self._owner.release(
                known.loan.loan_id, slot_outcome.SlotOutcome.NEUTRAL, now_s
            )
        return None

    def on_release(
        self, sender: str, msg: slot_release.SlotRelease, now_s: float
    ) -> slot_use.SlotUse | None:
        """Takes a loan back; None if it has ended already."""
        del sender
        if not msg.used:
            outcome = slot_outcome.SlotOutcome.NEUTRAL
        elif msg.failed:
            outcome = slot_outcome.SlotOutcome.FAILED
        else:
            outcome = slot_outcome.SlotOutcome.OK
        return self._owner.release(msg.loan_id, outcome, now_s)

    def make_refusal(self, item: LoanAsk) -> tuple[str, codec.Message]:
        """Returns the refusal of an ask that left the queue."""
        return (
            item.borrower,
            slot_refuse.SlotRefuse(item.ask_id, "deadline"),
        )

    def expire_asks(self, now_s: float) -> None:
        """Drops the oldest asks."""
        while self._asks:
            key, (at_s, _) = next(iter(self._asks.items()))
            recent = now_s - at_s < ASK_RETENTION_S
            if recent and len(self._asks) <= MAX_RETAINED_ASKS:
                break
            del self._asks[key]

    def _record(self, key, known: _AskRecord, now_s: float) -> None:
        self._asks[key] = (now_s, known)
        self._asks.move_to_end(key)

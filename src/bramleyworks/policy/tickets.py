"""Tickets that make a non-idempotent request run at most once."""

import dataclasses
import hashlib
import itertools
from collections.abc import Iterator

import msgspec

from bramleyworks.policy import ticket_outcome
from bramleyworks.policy import ticket_step

RETENTION_S = 600.0
MAX_TICKETS = 100_000
MAX_BODY_BYTES = 64 * 1024
MAX_BODIES_BYTES = 32_000_000
MAX_HANDOVER_BODY_BYTES = 4 * 1024
MAX_TICKET_CHARS = 256
EXPIRE_BATCH = 2000
# A larger sequence can not come from an issuer and only costs time to parse.
MAX_SEQUENCE_DIGITS = 18

_DIGEST_BYTES = 16
_MAX_INTERNED_OUTCOMES = 256


def parse(ticket: str) -> tuple[str, int] | None:
    """Splits a ticket.

    Returns:
        The issuer ``VMID.INCARNATION`` and the sequence number, or None if
        the ticket is malformed.
    """
    issuer, _, sequence = ticket[:MAX_TICKET_CHARS].rpartition(".")
    # Only the form that issue() writes is accepted, so that one ticket has
    # one spelling.
    if (
        len(ticket) > MAX_TICKET_CHARS
        or "." not in issuer
        or not sequence.isascii()
        or not sequence.isdigit()
        or len(sequence) > MAX_SEQUENCE_DIGITS
        or sequence[0] == "0"
    ):
        return None
    return issuer, int(sequence)


def request_fingerprint(organisation: str, digest: str) -> bytes:
    """Returns the short value by which a request is recognised again."""
    text = f"{len(organisation)}:{organisation}{digest}"
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


class _Ticket:
    """One ticket; ``outcome`` is None while it is unused or running."""

    __slots__ = ("organisation", "bound", "attempt", "running", "outcome")

    def __init__(self, organisation: str):
        self.organisation = organisation
        self.bound: bytes | None = None
        self.attempt = 0
        self.running = False
        self.outcome: ticket_outcome.TicketOutcome | None = None


class _OrganisationTickets:
    """The tickets of one organisation, oldest first; running are counted."""

    __slots__ = ("running", "unused", "ended", "bodies", "body_bytes")

    def __init__(self):
        self.running = 0
        self.unused: dict[int, None] = {}
        # Monotonic time of the end by sequence number.
        self.ended: dict[int, float] = {}
        self.bodies: dict[int, int] = {}
        self.body_bytes = 0

    def __len__(self) -> int:
        return len(self.unused) + len(self.ended)


class TicketTable:
    """The tickets issued by one incarnation.

    A class with state rather than a value, because copying 100,000 tickets
    for each request would be too slow. Methods take the monotonic time.

    A ticket that was forgotten answers "outcome unknown" and never runs.
    When the book is full, the organisation with most tickets loses its oldest
    ended one, then its oldest unused one, so that one organisation can not
    push out the outcomes of another.

    Attributes:
        last_sequence: Sequence number of the newest ticket, 0 for none.
        closed: Whether unused tickets were closed; then none is issued.
        body_bytes: Total size of the stored bodies.
    """

    def __init__(
        self,
        issuer: str,
        max_tickets: int = MAX_TICKETS,
        max_bodies_bytes: int = MAX_BODIES_BYTES,
    ):
        self._issuer = issuer
        self._max_tickets = max_tickets
        self._max_bodies_bytes = max_bodies_bytes
        self._tickets: dict[int, _Ticket] = {}
        self._by_organisation: dict[str, _OrganisationTickets] = {}
        self._interned: dict[
            ticket_outcome.TicketOutcome, ticket_outcome.TicketOutcome
        ] = {}
        self.last_sequence = 0
        self.closed = False
        self.body_bytes = 0

    def __len__(self) -> int:
        return len(self._tickets)

    @property
    def running(self) -> int:
        """The number of running tickets."""
        return sum(shelf.running for shelf in self._by_organisation.values())

    def issue(self, organisation: str) -> str | None:
        """Issues a ticket, or None if closed or full of running tickets."""
        if self.closed:
            return None
        if len(self._tickets) >= self._max_tickets and not self._evict():
            return None
        self.last_sequence += 1
        shelf = self._by_organisation.get(organisation)
        if shelf is None:
            shelf = self._by_organisation[organisation] = _OrganisationTickets()
        shelf.unused[self.last_sequence] = None
        self._tickets[self.last_sequence] = _Ticket(organisation)
        return f"{self._issuer}.{self.last_sequence}"

    def begin(
        self, sequence: int, organisation: str, digest: str, now_s: float
    ) -> ticket_step.TicketStep:
        """Decides about a request with a ticket of this incarnation."""
        if not 0 < sequence <= self.last_sequence:
            return ticket_step.Mismatch("the ticket was never issued")
        record = self._tickets.get(sequence)
        if record is not None and record.outcome is not None:
            ended_s = self._by_organisation[record.organisation].ended[sequence]
            if now_s - ended_s > RETENTION_S:
                self._remove(sequence)
                record = None
        if record is None:
            return ticket_step.Unknown("the ticket is no longer kept")
        bound = request_fingerprint(organisation, digest)
        if record.organisation != organisation or record.bound not in (
            None,
            bound,
        ):
            return ticket_step.Mismatch("the ticket is for another request")
        if record.running:
            return ticket_step.Wait()
        if record.outcome is not None:
            if record.outcome.kind == "done":
                return ticket_step.Replay(record.outcome)
            if record.outcome.kind == "unknown":
                return ticket_step.Unknown("the first attempt ended unknown")
        if self.closed:
            return ticket_step.NotRun("the issuing VM is stopping")
        shelf = self._by_organisation[organisation]
        shelf.unused.pop(sequence, None)
        shelf.ended.pop(sequence, None)
        shelf.running += 1
        record.bound = bound
        record.attempt += 1
        record.running = True
        record.outcome = None
        return ticket_step.Run(record.attempt)

    def finish(
        self,
        sequence: int,
        outcome: ticket_outcome.TicketOutcome,
        now_s: float,
        attempt: int | None = None,
    ) -> ticket_outcome.TicketOutcome | None:
        """Ends the running attempt.

        Args:
            sequence: Sequence number of the ticket.
            outcome: How the attempt ended.
            now_s: Monotonic time.
            attempt: Number from ``Run``; a late report of an earlier attempt
                is ignored. None means the running one.

        Returns:
            The outcome as stored, or None if that attempt is not running.
        """
        record = self._tickets.get(sequence)
        if record is None or not record.running:
            return None
        if attempt is not None and attempt != record.attempt:
            return None
        if len(outcome.body) > MAX_BODY_BYTES:
            outcome = outcome.without_body()
        record.running = False
        record.outcome = outcome = self._intern(outcome)
        shelf = self._by_organisation[record.organisation]
        shelf.running -= 1
        shelf.ended[sequence] = now_s
        if outcome.body:
            shelf.bodies[sequence] = len(outcome.body)
            shelf.body_bytes += len(outcome.body)
            self.body_bytes += len(outcome.body)
            if self.body_bytes > self._max_bodies_bytes:
                self._drop_oldest_bodies()
        return outcome

    def outcome(self, sequence: int) -> ticket_outcome.TicketOutcome | None:
        """Returns the stored outcome, None if the ticket has none."""
        record = self._tickets.get(sequence)
        return record.outcome if record else None

    def is_running(self, sequence: int) -> bool:
        """Returns whether an attempt is running."""
        record = self._tickets.get(sequence)
        return record is not None and record.running

    def close_unused(self) -> int:
        """Closes all tickets that do not run, for good.

        Returns:
            How many had never been used.
        """
        self.closed = True
        return sum(
            len(shelf.unused) for shelf in self._by_organisation.values()
        )

    def expire(self, now_s: float) -> None:
        """Forgets tickets that ended more than ``KEEP_S`` ago.

        One call forgets at most ``EXPIRE_BATCH`` of each organisation, so
        that it does not hold up requests for long.
        """
        for organisation, shelf in list(self._by_organisation.items()):
            # One pass; taking the first key of a dict again and again would
            # need quadratic time.
            oldest = list(itertools.islice(shelf.ended.items(), EXPIRE_BATCH))
            for sequence, ended_s in oldest:
                if now_s - ended_s <= RETENTION_S:
                    break
                self._remove(sequence)
            if not shelf and not shelf.running:
                del self._by_organisation[organisation]

    def handover(self) -> Iterator[tuple[int, bytes]]:
        """Yields the entries for the peers, newest end last.

        Running tickets are left out, so that peers call them unknown.

        Raises:
            ValueError: Unused tickets are not closed yet.
        """
        if not self.closed:
            raise ValueError("close_unused must come before handover")
        for sequence, record in list(self._tickets.items()):
            if record.running:
                continue
            outcome = record.outcome or ticket_outcome.NOT_RUN
            if len(outcome.body) > MAX_HANDOVER_BODY_BYTES:
                outcome = outcome.without_body()
            entry = HandoverEntry(record.organisation, record.bound, outcome)
            yield sequence, _ENCODER.encode(entry)

    def _evict(self) -> bool:
        shelf = max(self._by_organisation.values(), key=len, default=None)
        if not shelf:
            return False
        # Several at once, because finding the first key of a dict takes time
        # in proportion to the keys deleted before it.
        count = max(1, self._max_tickets // 1000)
        for sequence in list(
            itertools.islice(shelf.ended or shelf.unused, count)
        ):
            self._remove(sequence)
        return True

    def _remove(self, sequence: int) -> None:
        record = self._tickets.pop(sequence)
        shelf = self._by_organisation[record.organisation]
        shelf.unused.pop(sequence, None)
        shelf.ended.pop(sequence, None)
        self._drop_body(shelf, sequence)

    def _drop_body(self, shelf: _OrganisationTickets, sequence: int) -> None:
        size = shelf.bodies.pop(sequence, 0)
        shelf.body_bytes -= size
        self.body_bytes -= size

    def _drop_oldest_bodies(self) -> None:
        """Drops bodies of the largest organisations down to 99%."""
        while self.body_bytes > 0.99 * self._max_bodies_bytes:
            shelf = max(
                self._by_organisation.values(), key=lambda item: item.body_bytes
            )
            for sequence in list(itertools.islice(shelf.bodies, 100)):
                self._drop_body(shelf, sequence)
                record = self._tickets[sequence]
                record.outcome = self._intern(record.outcome.without_body())
                if self.body_bytes <= 0.99 * self._max_bodies_bytes:
                    break

    def _intern(
        self, outcome: ticket_outcome.TicketOutcome
    ) -> ticket_outcome.TicketOutcome:
        """Returns one object for equal outcomes without a body."""
        if outcome.body:
            return outcome
        if len(self._interned) >= _MAX_INTERNED_OUTCOMES:
            self._interned.clear()
        return self._interned.setdefault(outcome, outcome)


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverEntry:
    """A ticket that ended or was closed at a VM that stopped.

    Attributes:
        organisation: Organisation it was issued to.
        bound: Value of ``bind`` of its request, None if it was never used.
        outcome: Outcome; unused tickets have the kind ``"not_run"``.
    """

    organisation: str
    bound: bytes | None
    outcome: ticket_outcome.TicketOutcome


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(HandoverEntry)


@dataclasses.dataclass(slots=True)
class _IssuerEntries:
    """The entries of one issuer and the time of their newest part."""

    entries: dict[int, bytes]
    size: int
    received_s: float


class HandoverTable:
    """The tickets of stopped VMs for which this VM answers.

    A class with state for the same reason as ``TicketTable``. Entries stay
    encoded until they are asked for. When the book is full, the oldest
    entries of the issuer heard of longest ago are dropped.

    Attributes:
        size: Encoded size of all entries in bytes.
    """

    def __init__(
        self,
        max_tickets: int = MAX_TICKETS,
        max_bytes: int = MAX_BODIES_BYTES,
    ):
        self._max_tickets = max_tickets
        self._max_bytes = max_bytes
        self._by_issuer: dict[str, _IssuerEntries] = {}
        self._count = 0
        self.size_bytes = 0

    def __len__(self) -> int:
        return self._count

    def add(self, issuer: str, entries: dict[int, bytes], now_s: float) -> None:
        """Stores one part of a handover; a repeated part changes nothing."""
        held = self._by_issuer.pop(issuer, None) or _IssuerEntries({}, 0, now_s)
        self._by_issuer[issuer] = held
        held.received_s = now_s
        for sequence, entry in entries.items():
            if sequence not in held.entries:
                held.entries[sequence] = entry
                held.size += len(entry)
                self.size_bytes += len(entry)
                self._count += 1
        while self._is_full():
            self._drop_oldest_entries()

    def expire(self, now_s: float) -> None:
        """Forgets the issuers that handed over more than ``KEEP_S`` ago."""
        for issuer, held in list(self._by_issuer.items()):
            if now_s - held.received_s > RETENTION_S:
                self._remove_issuer(issuer)

    def begin(
        self,
        issuer: str,
        sequence: int,
        organisation: str,
        digest: str,
        now_s: float,
    ) -> ticket_step.TicketStep | None:
        """Decides for a stopped issuer; None if its ticket is not held."""
        held = self._by_issuer.get(issuer)
        if held is None or now_s - held.received_s > RETENTION_S:
            return None
        data = held.entries.get(sequence)
        if data is None:
            return None
        try:
            entry = _DECODER.decode(data)
        except msgspec.DecodeError:
            return ticket_step.Unknown("the handover entry is malformed")
        if entry.organisation != organisation or entry.bound not in (
            None,
            request_fingerprint(organisation, digest),
        ):
            return ticket_step.Mismatch("the ticket is for another request")
        if entry.outcome.kind == "done":
            return ticket_step.Replay(entry.outcome)
        if entry.outcome.kind == "not_run":
            return ticket_step.NotRun("the issuing VM has stopped")
        return ticket_step.Unknown("the first attempt ended unknown")

    def _is_full(self) -> bool:
        return (
            self._count > self._max_tickets or self.size_bytes > self._max_bytes
        )

    def _drop_oldest_entries(self) -> None:
        issuer, held = next(iter(self._by_issuer.items()))
        if not held.entries:
            del self._by_issuer[issuer]
            return
        for sequence in list(itertools.islice(held.entries, EXPIRE_BATCH)):
            if not self._is_full():
                break
            size = len(held.entries.pop(sequence))
            held.size -= size
            self.size_bytes -= size
            self._count -= 1

    def _remove_issuer(self, issuer: str) -> None:
        held = self._by_issuer.pop(issuer)
        self.size_bytes -= held.size
        self._count -= len(held.entries)

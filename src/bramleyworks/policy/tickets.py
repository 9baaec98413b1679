"""Tickets that let a non-idempotent request run at most once."""

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
# No issuer gets to a longer number, and parsing one only costs time.
MAX_SEQUENCE_DIGITS = 18

_DIGEST_BYTES = 16
_MAX_INTERNED_OUTCOMES = 256


def parse(ticket: str) -> tuple[str, int] | None:
    """Parses a ticket.

    Returns:
        The issuer ``VMID.INCARNATION`` and the sequence number, or None if
        the ticket is malformed.
    """
    issuer, _, sequence = ticket[:MAX_TICKET_CHARS].rpartition(".")
    # Only the form written by issue() is accepted, so that a ticket has a
    # single spelling.
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
    """Returns the fingerprint that binds a ticket to one request.

    Args:
        organisation: Organisation of the request.
        digest: Digest of the contents of the request.
    """
    text = f"{len(organisation)}:{organisation}{digest}"
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


class _Ticket:
    """State of a ticket; ``outcome`` is None while it is unused or running."""

    __slots__ = ("organisation", "bound", "attempt", "running", "outcome")

    def __init__(self, organisation: str):
        self.organisation = organisation
        self.bound: bytes | None = None
        self.attempt = 0
        self.running = False
        self.outcome: ticket_outcome.TicketOutcome | None = None


class _OrganisationTickets:
    """Tickets of one organisation, oldest first; running ones are counted."""

    __slots__ = ("running", "unused", "ended", "bodies", "body_bytes")

    def __init__(self):
        self.running = 0
        self.unused: dict[int, None] = {}
        # Monotonic time of the end, by sequence number.
        self.ended: dict[int, float] = {}
        self.bodies: dict[int, int] = {}
        self.body_bytes = 0

    def __len__(self) -> int:
        return len(self.unused) + len(self.ended)


class TicketTable:
    """Tickets issued by one incarnation of a VM.

    The class is mutable because copying 100,000 tickets for each request would
    be too slow. Methods take the monotonic time.

    The outcome of an evicted ticket is unknown, and a request with it never
    runs.
    When the table is full, the organisation with the most tickets loses its
    oldest ended ones or, if none has ended, its oldest unused ones. So one
    organisation cannot evict the outcomes of another.

    Attributes:
        last_sequence: Sequence number of the latest ticket, 0 for none.
        closed: Whether unused tickets were closed. No more tickets are issued
            then.
        body_bytes: Total size of the stored bodies in bytes.
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
        return sum(
            org_tickets.running
            for org_tickets in self._by_organisation.values()
        )

    def issue(self, organisation: str) -> str | None:
        """Issues a ticket; None if closed or full of running tickets."""
        if self.closed:
            return None
        if len(self._tickets) >= self._max_tickets and not self._evict():
            return None
        self.last_sequence += 1
        org_tickets = self._by_organisation.get(organisation)
        if org_tickets is None:
            org_tickets = self._by_organisation[organisation] = (
                _OrganisationTickets()
            )
        org_tickets.unused[self.last_sequence] = None
        self._tickets[self.last_sequence] = _Ticket(organisation)
        return f"{self._issuer}.{self.last_sequence}"

    def begin(
        self, sequence: int, organisation: str, digest: str, now_s: float
    ) -> ticket_step.TicketStep:
        """Decides on a request with a ticket of this incarnation."""
        if not 0 < sequence <= self.last_sequence:
            return ticket_step.Mismatch("the ticket was never issued")
        ticket = self._tickets.get(sequence)
        if ticket is not None and ticket.outcome is not None:
            ended_s = self._by_organisation[ticket.organisation].ended[sequence]
            if now_s - ended_s > RETENTION_S:
                self._remove(sequence)
                ticket = None
        if ticket is None:
            return ticket_step.Unknown("the ticket is no longer kept")
        fingerprint = request_fingerprint(organisation, digest)
        if ticket.organisation != organisation or ticket.bound not in (
            None,
            fingerprint,
        ):
            return ticket_step.Mismatch("the ticket is for another request")
        if ticket.running:
            return ticket_step.Wait()
        if ticket.outcome is not None:
            if ticket.outcome.kind == "done":
                return ticket_step.Replay(ticket.outcome)
            if ticket.outcome.kind == "unknown":
                return ticket_step.Unknown("the first attempt ended unknown")
        if self.closed:
            return ticket_step.NotRun("the issuing VM is stopping")
        org_tickets = self._by_organisation[organisation]
        org_tickets.unused.pop(sequence, None)
        org_tickets.ended.pop(sequence, None)
        org_tickets.running += 1
        ticket.bound = fingerprint
        ticket.attempt += 1
        ticket.running = True
        ticket.outcome = None
        return ticket_step.Run(ticket.attempt)

    def finish(
        self,
        sequence: int,
        outcome: ticket_outcome.TicketOutcome,
        now_s: float,
        attempt: int | None = None,
    ) -> ticket_outcome.TicketOutcome | None:
        """Records the outcome of the attempt in progress.

        Args:
            sequence: Sequence number of the ticket.
            outcome: How the attempt ended.
            now_s: Monotonic time.
            attempt: Number from ``Run``; a late report of an earlier attempt
                is ignored. None means the attempt in progress.

        Returns:
            The outcome as stored, or None if that attempt is not running.
        """
        ticket = self._tickets.get(sequence)
        if ticket is None or not ticket.running:
            return None
        if attempt is not None and attempt != ticket.attempt:
            return None
        if len(outcome.body) > MAX_BODY_BYTES:
            outcome = outcome.without_body()
        ticket.running = False
        ticket.outcome = outcome = self._intern(outcome)
        org_tickets = self._by_organisation[ticket.organisation]
        org_tickets.running -= 1
        org_tickets.ended[sequence] = now_s
        if outcome.body:
            org_tickets.bodies[sequence] = len(outcome.body)
            org_tickets.body_bytes += len(outcome.body)
            self.body_bytes += len(outcome.body)
            if self.body_bytes > self._max_bodies_bytes:
                self._drop_oldest_bodies()
        return outcome

    def outcome(self, sequence: int) -> ticket_outcome.TicketOutcome | None:
        """Returns the stored outcome, None if the ticket has none."""
        ticket = self._tickets.get(sequence)
        return ticket.outcome if ticket else None

    def is_running(self, sequence: int) -> bool:
        """Returns whether an attempt is running."""
        ticket = self._tickets.get(sequence)
        return ticket is not None and ticket.running

    def close_unused(self) -> int:
        """Closes all tickets that are not running, permanently.

        Returns:
            The number of tickets that were never used.
        """
        self.closed = True
        return sum(
            len(org_tickets.unused)
            for org_tickets in self._by_organisation.values()
        )

    def expire(self, now_s: float) -> None:
        """Removes tickets that ended more than ``RETENTION_S`` ago.

        One call removes at most ``EXPIRE_BATCH`` tickets of each organisation,
        to bound the delay of requests.
        """
        for organisation, org_tickets in list(self._by_organisation.items()):
            # A single pass, because removing the first key of a dict
            # repeatedly takes quadratic time.
            oldest = list(
                itertools.islice(org_tickets.ended.items(), EXPIRE_BATCH)
            )
            for sequence, ended_s in oldest:
                if now_s - ended_s <= RETENTION_S:
                    break
                self._remove(sequence)
            if not org_tickets and not org_tickets.running:
                del self._by_organisation[organisation]

    def handover(self) -> Iterator[tuple[int, bytes]]:
        """Yields sequence numbers and encoded entries for the peers.

        Running tickets are omitted, so that peers report them as unknown.

        Raises:
            ValueError: If unused tickets are not closed yet.
        """
        if not self.closed:
            raise ValueError("close_unused() must be called before handover()")
        for sequence, ticket in list(self._tickets.items()):
            if ticket.running:
                continue
            outcome = ticket.outcome or ticket_outcome.NOT_RUN
            if len(outcome.body) > MAX_HANDOVER_BODY_BYTES:
                outcome = outcome.without_body()
            entry = HandoverEntry(ticket.organisation, ticket.bound, outcome)
            yield sequence, _ENCODER.encode(entry)

    def _evict(self) -> bool:
        org_tickets = max(self._by_organisation.values(), key=len, default=None)
        if not org_tickets:
            return False
        # Evicts several at once, because finding the first key of a dict
        # takes time in proportion to the keys deleted before it.
        count = max(1, self._max_tickets // 1000)
        for sequence in list(
            itertools.islice(org_tickets.ended or org_tickets.unused, count)
        ):
            self._remove(sequence)
        return True

    def _remove(self, sequence: int) -> None:
        ticket = self._tickets.pop(sequence)
        org_tickets = self._by_organisation[ticket.organisation]
        org_tickets.unused.pop(sequence, None)
        org_tickets.ended.pop(sequence, None)
        self._drop_body(org_tickets, sequence)

    def _drop_body(
        self, org_tickets: _OrganisationTickets, sequence: int
    ) -> None:
        size = org_tickets.bodies.pop(sequence, 0)
        org_tickets.body_bytes -= size
        self.body_bytes -= size

    def _drop_oldest_bodies(self) -> None:
        """Drops bodies of the organisations with most bytes, down to 99%."""
        while self.body_bytes > 0.99 * self._max_bodies_bytes:
            org_tickets = max(
                self._by_organisation.values(), key=lambda item: item.body_bytes
            )
            for sequence in list(itertools.islice(org_tickets.bodies, 100)):
                self._drop_body(org_tickets, sequence)
                ticket = self._tickets[sequence]
                ticket.outcome = self._intern(ticket.outcome.without_body())
                if self.body_bytes <= 0.99 * self._max_bodies_bytes:
                    break

    def _intern(
        self, outcome: ticket_outcome.TicketOutcome
    ) -> ticket_outcome.TicketOutcome:
        """Returns one shared object for equal outcomes without a body."""
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
        bound: Fingerprint of its request, None if it was never used.
        outcome: Outcome; unused tickets have the kind ``"not_run"``.
    """

    organisation: str
    bound: bytes | None
    outcome: ticket_outcome.TicketOutcome


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(HandoverEntry)


@dataclasses.dataclass(slots=True)
class _IssuerEntries:
    """Entries of one issuer and the time at which the latest were received."""

    entries: dict[int, bytes]
    size: int
    received_s: float


class HandoverTable:
    """Tickets that stopped VMs handed over to this VM.

    A mutable class for the same reason as ``TicketTable``. Entries stay encoded
    until they are looked up. When the table is full, the oldest entries of the
    issuer whose latest part was received longest ago are dropped.

    Attributes:
        size_bytes: Encoded size of all entries in bytes.
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
        """Stores one part of a handover; a duplicate part changes no entry."""
        stored = self._by_issuer.pop(issuer, None) or _IssuerEntries(
            {}, 0, now_s
        )
        self._by_issuer[issuer] = stored
        stored.received_s = now_s
        for sequence, entry in entries.items():
            if sequence not in stored.entries:
                stored.entries[sequence] = entry
                stored.size += len(entry)
                self.size_bytes += len(entry)
                self._count += 1
        while self._is_full():
            self._drop_oldest_entries()

    def expire(self, now_s: float) -> None:
        """Removes issuers whose latest part came over ``RETENTION_S`` ago."""
        for issuer, stored in list(self._by_issuer.items()):
            if now_s - stored.received_s > RETENTION_S:
                self._remove_issuer(issuer)

    def begin(
        self,
        issuer: str,
        sequence: int,
        organisation: str,
        digest: str,
        now_s: float,
    ) -> ticket_step.TicketStep | None:
        """Decides for a stopped issuer; None if the ticket is not stored."""
        stored = self._by_issuer.get(issuer)
        if stored is None or now_s - stored.received_s > RETENTION_S:
            return None
        data = stored.entries.get(sequence)
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
        issuer, stored = next(iter(self._by_issuer.items()))
        if not stored.entries:
            del self._by_issuer[issuer]
            return
        for sequence in list(itertools.islice(stored.entries, EXPIRE_BATCH)):
            if not self._is_full():
                break
            size = len(stored.entries.pop(sequence))
            stored.size -= size
            self.size_bytes -= size
            self._count -= 1

    def _remove_issuer(self, issuer: str) -> None:
        stored = self._by_issuer.pop(issuer)
        self.size_bytes -= stored.size
        self._count -= len(stored.entries)

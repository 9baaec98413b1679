"""The ring of segments that holds the audit trail."""

import dataclasses

import msgspec

from bramleyworks.policy import audit_entry

SEGMENT_COUNT = 64
SEGMENT_BYTES = 64 * 1024
HEAD_KEY = "audit/head"
MAX_PENDING_ENTRIES = 1000
# Bounds an entry to about 2 KiB, also when each character needs 6 bytes of
# JSON, so that a segment holds at least 15 entries.
MAX_TEXT_CHARS = 200


@dataclasses.dataclass(frozen=True)
class Segment:
    """One segment of the ring.

    Attributes:
        number: Counts all segments ever begun, so that a segment of an
            earlier lap of the ring is recognised.
        entries: Its entries, oldest first.
    """

    number: int
    entries: tuple[audit_entry.AuditEntry, ...] = ()


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Segment)


def segment_key(number: int) -> str:
    """Returns the store key of a segment."""
    return f"audit/{number % SEGMENT_COUNT}"


def encode(segment: Segment) -> bytes:
    """Returns the segment as JSON."""
    return _ENCODER.encode(segment)


def decode(data: bytes) -> Segment | None:
    """Decodes a segment; None if it is malformed."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def encode_head(number: int) -> bytes:
    """Returns the value of ``HEAD_KEY``."""
    return b"%d" % number


def decode_head(data: bytes) -> int:
    """Decodes the value of ``HEAD_KEY``; a malformed one counts as 0."""
    return int(data) if data.isdigit() else 0


def append(
    segment: Segment,
    entries: tuple[audit_entry.AuditEntry, ...],
    limit_bytes: int = SEGMENT_BYTES,
) -> tuple[Segment, int]:
    """Adds entries while the encoded segment stays within the limit.

    Entries whose id the segment already holds are skipped.

    Returns:
        The new segment and how many of the entries it took or skipped.
    """
    size = len(encode(segment))
    known = {entry.id for entry in segment.entries}
    added = list(segment.entries)
    taken = 0
    for entry in entries:
        if entry.id not in known:
            # One byte for the comma between two entries.
            size += len(_ENCODER.encode(entry)) + 1
            if size > limit_bytes:
                break
            added.append(entry)
            known.add(entry.id)
        taken += 1
    return Segment(segment.number, tuple(added)), taken


class PendingEntries:
    """Entries that wait to be written; the oldest give way to newer ones.

    A class with state, because copying 1,000 entries for each note would be
    too slow.

    Attributes:
        dropped: Entries dropped and not yet reported in the trail.
    """

    def __init__(self, limit: int = MAX_PENDING_ENTRIES):
        self._limit = limit
        self._entries: dict[str, audit_entry.AuditEntry] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: audit_entry.AuditEntry, in_flight: int = 0) -> None:
        """Adds an entry.

        Args:
            entry: The newest entry.
            held: Entries that a write in progress holds and that count
                towards the limit.
        """
        self._entries[entry.id] = entry
        while self._entries and len(self._entries) + in_flight > self._limit:
            del self._entries[next(iter(self._entries))]
            self.dropped += 1

    def entries(self) -> tuple[audit_entry.AuditEntry, ...]:
        """Returns the entries, oldest first."""
        return tuple(self._entries.values())

    def remove(self, entries: tuple[audit_entry.AuditEntry, ...]) -> None:
        """Removes entries that a write holds."""
        for entry in entries:
            self._entries.pop(entry.id, None)

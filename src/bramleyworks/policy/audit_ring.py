"""Ring buffer of segments in the store that holds the audit trail."""

import dataclasses

import msgspec

from bramleyworks.policy import audit_entry

SEGMENT_COUNT = 64
SEGMENT_BYTES = 64 * 1024
HEAD_KEY = "audit/head"
MAX_PENDING_ENTRIES = 1000
# Limits an entry to about 2 KiB even if every character takes 6 bytes of JSON,
# so that a segment holds at least 15 entries.
MAX_TEXT_CHARS = 200


@dataclasses.dataclass(frozen=True)
class Segment:
    """A segment of the ring.

    Attributes:
        number: Sequence number over all segments ever started; tells a
            segment from an older one that was stored in the same slot.
        entries: Entries, oldest first.
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
    """Decodes the value of ``HEAD_KEY``; returns 0 if it is malformed."""
    return int(data) if data.isdigit() else 0


def append(
    segment: Segment,
    entries: tuple[audit_entry.AuditEntry, ...],
    limit_bytes: int = SEGMENT_BYTES,
) -> tuple[Segment, int]:
    """Appends entries while the encoded segment stays within the limit.

    Entries whose id is already in the segment are skipped.

    Args:
        segment: Segment to append to.
        entries: Entries to append, oldest first.
        limit_bytes: Maximum size of the encoded segment.

    Returns:
        The new segment and the number of entries appended or skipped.
    """
    size = len(encode(segment))
    known = {entry.id for entry in segment.entries}
    added = list(segment.entries)
    consumed = 0
    for entry in entries:
        if entry.id not in known:
            # One byte for the comma between entries.
            size += len(_ENCODER.encode(entry)) + 1
            if size > limit_bytes:
                break
            added.append(entry)
            known.add(entry.id)
        consumed += 1
    return Segment(segment.number, tuple(added)), consumed


class PendingEntries:
    """Entries waiting to be written; the oldest are dropped when it is full.

    Mutable, because copying up to 1,000 entries for each new one would be too
    slow.

    Attributes:
        dropped: Number of dropped entries not yet reported in the trail.
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
            entry: The new entry.
            in_flight: Number of entries in a write in progress; they count
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
        """Removes entries that have been handed to a write."""
        for entry in entries:
            self._entries.pop(entry.id, None)

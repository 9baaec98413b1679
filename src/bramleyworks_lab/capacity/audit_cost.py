"""Cost of an audit trail segment and of entries not yet written."""

from bramleyworks.policy import audit_entry
from bramleyworks.policy import audit_ring
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement

ENTRIES = (20, 100, 300)
TINY_ENTRIES = (2, 4, 8)


def _entries(count: int) -> tuple[audit_entry.AuditEntry, ...]:
    return tuple(
        audit_entry.AuditEntry(
            id=f"vm-00001.0123456789ab.{i}",
            time_s=1.8e9 + i,
            vm="vm-00001",
            kind="ledger.joined",
            subject=f"vm-{i:05d}",
            cause=f"epoch {i}",
        )
        for i in range(count)
    )


def _bytes(count: int) -> float:
    segment = audit_ring.Segment(1, _entries(count))
    return float(len(audit_ring.encode(segment)))


def _append_us(count: int) -> float:
    data = audit_ring.encode(audit_ring.Segment(1, _entries(count)[:-1]))
    last = _entries(count)[-1:]

    def write() -> None:
        segment = audit_ring.decode(data)
        updated, _ = audit_ring.append(segment, last)
        audit_ring.encode(updated)

    return cost.cpu_us(write)


def _pending_bytes(count: int) -> float:
    def fill() -> audit_ring.PendingEntries:
        pending = audit_ring.PendingEntries()
        for entry in _entries(count):
            pending.add(entry)
        return pending

    return cost.retained_bytes(fill)


MEASUREMENTS = tuple(
    measurement.Measurement(
        name, "audit", "entries", unit, ENTRIES, TINY_ENTRIES, run
    )
    for name, unit, run in (
        ("audit-segment-bytes", "bytes", _bytes),
        ("audit-append", "us", _append_us),
        ("audit-pending-bytes", "bytes", _pending_bytes),
    )
)

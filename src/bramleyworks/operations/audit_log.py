"""Reader of the audit trail in the store."""

from bramleyworks.adapters import store as store_module
from bramleyworks.policy import audit_entry
from bramleyworks.policy import audit_ring


async def read_all(
    store: store_module.Store,
) -> tuple[audit_entry.AuditEntry, ...]:
    """Reads the audit trail, oldest segment first, each entry once.

    Makes one store call per segment of the ring.

    Raises:
        errors.StoreError: The store can not be reached.
    """
    segments = []
    for index in range(audit_ring.SEGMENT_COUNT):
        entry = await store.get(audit_ring.segment_key(index))
        segment = audit_ring.decode(entry.value) if entry else None
        if segment is not None:
            segments.append(segment)
    segments.sort(key=lambda segment: segment.number)
    by_id = {}
    for segment in segments:
        for entry in segment.entries:
            by_id.setdefault(entry.id, entry)
    return tuple(by_id.values())

"""The task that appends this daemon's entries to the audit trail."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from absl import logging

from bramleyworks import errors
from bramleyworks.adapters import store as store_module
from bramleyworks.daemon import identity
from bramleyworks.document import stored_config
from bramleyworks.policy import audit_entry
from bramleyworks.policy import audit_ring
from bramleyworks.policy import fleet_view

FLUSH_INTERVAL_S = 5.0
# Spreads the writes of daemons that started at the same time.
FLUSH_JITTER = 0.2
# A flush that needs more steps because of conflicts with other writers is
# continued by the next flush.
MAX_STEPS_PER_FLUSH = 20


@dataclasses.dataclass(frozen=True)
class _UnconfirmedWrite:
    """A write that is not known to have taken effect.

    Attributes:
        segment: The segment including the new entries.
        expected_revision: Revision of the segment that the write replaces.
        entries: The new entries, without the one that reports dropped entries.
        dropped: Number of dropped entries that the write reports.
    """

    segment: audit_ring.Segment
    expected_revision: int
    entries: tuple[audit_entry.AuditEntry, ...]
    dropped: int


class AuditTask:
    """Collects audit entries and appends them to the ring in the store.

    A write whose reply was lost is resolved before any other write. Either its
    entries are in the segment, or the same write is retried with the same
    expected revision, so the store accepts it at most once.

    Attributes:
        written_count: Number of entries confirmed to be in the store.
    """

    def __init__(
        self,
        me: identity.Identity,
        store: store_module.Store,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
        segment_bytes: int = audit_ring.SEGMENT_BYTES,
    ):
        self._me = me
        self._segment_bytes = segment_bytes
        self._store = store
        self._wall_clock = wall_clock
        self._rng = rng or random.Random()
        self._pending = audit_ring.PendingEntries()
        self._unconfirmed: _UnconfirmedWrite | None = None
        self._sequence = 0
        self._flush_lock = asyncio.Lock()
        self.written_count = 0

    def record(self, kind: str, subject: str, cause: str) -> None:
        """Records an event, to be written within about 5 s.

        Args:
            kind: Kind of the event, for example ``"move.cut"``.
            subject: Object of the event; must not contain a caller's key.
            cause: Cause of the event; must not contain a caller's key.
        """
        unconfirmed = len(self._unconfirmed.entries) if self._unconfirmed else 0
        self._pending.add(self._make_entry(kind, subject, cause), unconfirmed)

    async def flush(self) -> bool:
        """Writes all entries; returns whether all are confirmed."""
        async with self._flush_lock:
            try:
                for _ in range(MAX_STEPS_PER_FLUSH):
                    if not await self._flush_step():
                        return True
            except errors.StoreError as exc:
                logging.warning("audit entries not written: %s", exc)
            return False

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Does nothing; the configuration contains its own history."""

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Does nothing; the audit trail does not depend on the fleet."""

    async def run(self) -> None:
        """Writes the entries every 5 s until cancelled."""
        while True:
            jitter = self._rng.uniform(1 - FLUSH_JITTER, 1 + FLUSH_JITTER)
            await asyncio.sleep(FLUSH_INTERVAL_S * jitter)
            await self.flush()

    def _make_entry(
        self, kind: str, subject: str, cause: str
    ) -> audit_entry.AuditEntry:
        self._sequence += 1
        limit = audit_ring.MAX_TEXT_CHARS
        return audit_entry.AuditEntry(
            id=f"{self._me.vm_id}.{self._me.incarnation}.{self._sequence}",
            time_s=self._wall_clock(),
            vm=self._me.vm_id,
            kind=kind[:limit],
            subject=subject[:limit],
            cause=cause[:limit],
        )

    async def _flush_step(self) -> bool:
        """Makes one write attempt; returns whether work may remain."""
        if self._unconfirmed is not None:
            await self._resolve(self._unconfirmed)
            return True
        if not self._pending and not self._pending.dropped:
            return False
        head = await self._store.get(audit_ring.HEAD_KEY)
        number = audit_ring.decode_head(head.value) if head else 0
        key = audit_ring.segment_key(number)
        stored = await self._store.get(key)
        segment = audit_ring.decode(stored.value) if stored else None
        if segment is None or segment.number < number:
            segment = audit_ring.Segment(number)
        if segment.number > number:
            # The ring has wrapped around since the head was read.
            return True
        entries = self._pending.entries()
        dropped = self._pending.dropped
        if dropped:
            report = self._make_entry(
                "audit.lost", self._me.vm_id, f"{dropped}"
            )
            entries = (report, *entries)
        updated, count = audit_ring.append(
            segment, entries, self._segment_bytes
        )
        if not count:
            await self._advance_head(number, head.revision if head else 0)
            return True
        entries = entries[1:count] if dropped else entries[:count]
        self._pending.remove(entries)
        self._pending.dropped -= dropped
        revision = stored.revision if stored else 0
        self._unconfirmed = _UnconfirmedWrite(
            updated, revision, entries, dropped
        )
        await self._put_segment(self._unconfirmed)
        return True

    async def _advance_head(self, number: int, revision: int) -> None:
        try:
            await self._store.put(
                audit_ring.HEAD_KEY,
                audit_ring.encode_head(number + 1),
                revision,
            )
        except errors.StoreConflictError:
            # Another writer has advanced the head.
            return

    async def _put_segment(self, write: _UnconfirmedWrite) -> None:
        try:
            await self._store.put(
                audit_ring.segment_key(write.segment.number),
                audit_ring.encode(write.segment),
                write.expected_revision,
            )
        except errors.StoreConflictError:
            # The conflict may be with an earlier attempt of this write.
            await self._resolve(write)
            return
        self._confirm(write)

    async def _resolve(self, write: _UnconfirmedWrite) -> None:
        key = audit_ring.segment_key(write.segment.number)
        stored = await self._store.get(key)
        revision = stored.revision if stored else 0
        if revision == write.expected_revision:
            await self._put_segment(write)
            return
        segment = audit_ring.decode(stored.value) if stored else None
        if segment is None or segment.number > write.segment.number:
            # The ring has wrapped around, so the entries would be overwritten
            # by now in either case.
            self._confirm(write)
            return
        if write.segment.entries[-1] in segment.entries:
            self._confirm(write)
            return
        # The revision has changed, so the write cannot take effect any more.
        self._unconfirmed = None
        self._pending.dropped += write.dropped
        pending = self._pending.entries()
        self._pending.remove(pending)
        for entry in (*write.entries, *pending):
            self._pending.add(entry)

    def _confirm(self, write: _UnconfirmedWrite) -> None:
        self.written_count += len(write.entries)
        self._unconfirmed = None

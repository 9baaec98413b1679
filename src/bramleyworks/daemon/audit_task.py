"""The task that writes this daemon's entries to the audit trail."""

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
# Spreads the writes of daemons that started together.
FLUSH_JITTER = 0.2
# Writers that conflict more often than this in one flush try again in the
# next one.
MAX_STEPS_PER_FLUSH = 20


@dataclasses.dataclass(frozen=True)
class _UnconfirmedWrite:
    """A write of which the effect is not confirmed.

    Attributes:
        segment: The segment with the new entries.
        expected_revision: Revision that the write expects.
        entries: The new entries, without the report of lost ones.
        lost: Number of lost entries that the write reports.
    """

    segment: audit_ring.Segment
    expected_revision: int
    entries: tuple[audit_entry.AuditEntry, ...]
    dropped: int


class AuditTask:
    """Collects audit entries and appends them to the ring in the store.

    A write whose reply was lost is resolved before any other write: its
    entries are either found in the segment, or the same write is repeated
    with the same expected revision, of which the store accepts one at most.

    Attributes:
        written: Entries confirmed to be in the store.
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
        """Records an event; it is written within about 5 s.

        Args:
            kind: Kind of the event, for example ``"move.cut"``.
            subject: What it is about; must not contain a caller's key.
            cause: Why it happened; must not contain a caller's key.
        """
        held = len(self._unconfirmed.entries) if self._unconfirmed else 0
        self._pending.add(self._make_entry(kind, subject, cause), held)

    async def flush(self) -> bool:
        """Writes all entries now; returns whether all were confirmed."""
        async with self._flush_lock:
            try:
                for _ in range(MAX_STEPS_PER_FLUSH):
                    if not await self._flush_step():
                        return True
            except errors.StoreError as exc:
                logging.warning("audit entries wait: %s", exc)
            return False

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Does nothing; the configuration keeps its own history."""

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
        """Makes one attempt; returns whether anything is left to do."""
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
            # The ring went round since the head was read.
            return True
        entries = self._pending.entries()
        lost = self._pending.dropped
        if lost:
            report = self._make_entry("audit.lost", self._me.vm_id, f"{lost}")
            entries = (report, *entries)
        grown, taken = audit_ring.append(segment, entries, self._segment_bytes)
        if not taken:
            await self._advance_head(number, head.revision if head else 0)
            return True
        entries = entries[1:taken] if lost else entries[:taken]
        self._pending.remove(entries)
        self._pending.dropped -= lost
        revision = stored.revision if stored else 0
        self._unconfirmed = _UnconfirmedWrite(grown, revision, entries, lost)
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
            # Another writer advanced the head.
            return

    async def _put_segment(self, write: _UnconfirmedWrite) -> None:
        try:
            await self._store.put(
                audit_ring.segment_key(write.segment.number),
                audit_ring.encode(write.segment),
                write.expected_revision,
            )
        except errors.StoreConflictError:
            # An earlier try of the same write may be what it conflicts with.
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
            # The ring went round: the entries would be gone in either case.
            self._confirm(write)
            return
        if write.segment.entries[-1] in segment.entries:
            self._confirm(write)
            return
        # The revision has changed, so the write can not take effect any more.
        self._unconfirmed = None
        self._pending.dropped += write.dropped
        waiting = self._pending.entries()
        self._pending.remove(waiting)
        for entry in (*write.entries, *waiting):
            self._pending.add(entry)

    def _confirm(self, write: _UnconfirmedWrite) -> None:
        self.written_count += len(write.entries)
        self._unconfirmed = None

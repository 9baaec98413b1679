"""The task that applies and drives version moves."""

import asyncio
import math
import random
import time
from collections.abc import Callable
from collections.abc import Iterable

from absl import logging

from bramleyworks import errors
from bramleyworks.adapters import store as store_module
from bramleyworks.adapters import store_entry
from bramleyworks.adapters import store_lease
from bramleyworks.daemon import audit_sink
from bramleyworks.daemon import identity
from bramleyworks.daemon import move_status
from bramleyworks.daemon import peer_link
from bramleyworks.document import move as move_module
from bramleyworks.document import stored_config
from bramleyworks.messages import version_cut
from bramleyworks.policy import canary_stats
from bramleyworks.policy import fleet_view
from bramleyworks.policy import move_record
from bramleyworks.policy import move_schedule
from bramleyworks.policy import peer_rank
from bramleyworks.policy import sample as sample_module

MOVES_KEY = "moves"
LEASE_NAME = "move-driver"
LEASE_TTL_S = 6.0
# A write is not started when the lease expires within this time.
LEASE_MARGIN_S = 1.0
DRIVE_INTERVAL_S = 2.0
DRIVE_JITTER = 0.5
TICK_INTERVAL_S = 0.25
WATCH_TIMEOUT_S = 2.0
MAX_RETRY_DELAY_S = 2.0
# A daemon that was paused for this long may have missed an abort.
PAUSE_THRESHOLD_S = 2.0
# Time after a start or a pause in which heartbeats, sent at 1 Hz, arrive from
# all neighbours.
CATCH_UP_S = 1.5
DRIVERS_PER_REGION = 2
MAX_UNKNOWN_ABORTS = 100
# Number of peers to which a daemon forwards an abort. Equals the fan-out of the
# relay tree.
ABORT_FANOUT = 16
# Time to keep records of ended moves that are no longer in the document.
RECORD_RETENTION_S = 86_400.0

_VERDICTS = ("running", "done", "undone")


class _TrafficSplit:
    """How the requests of a service are split between two versions."""

    __slots__ = (
        "old_version",
        "new_version",
        "share_ppm",
        "deadline_s",
        "accumulated_ppm",
    )

    def __init__(self, version: str):
        self.old_version = version
        self.new_version = version
        self.share_ppm = 0
        self.deadline_s = math.inf
        self.accumulated_ppm: dict[str, int] = {}


class MoveTask:
    """Applies and monitors moves, and drives them while it holds the lease.

    Two daemons of each region read the store value ``moves`` and compete for
    the lease; the others receive the records in heartbeats.
    """

    def __init__(
        self,
        me: identity.Identity,
        link: peer_link.PeerLink,
        store: store_module.Store,
        audit: audit_sink.AuditSink,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ):
        self._me = me
        self._source = (me.vm_id, me.incarnation)
        self._link = link
        self._store = store
        self._audit = audit
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng or random.Random()
        self._view = fleet_view.FleetView(me.vm_id, {})
        self._services: dict[str, str] = {}
        self._splits: dict[str, _TrafficSplit] = {}
        self._analyses_by_route: dict[
            str, list[canary_stats.CanaryAnalysis]
        ] = {}
        self._moves: dict[str, move_module.Move] = {}
        self._analyses: dict[str, canary_stats.CanaryAnalysis] = {}
        self._records: dict[str, tuple[int, move_record.MoveRecord]] = {}
        self._revision = 0
        self._abort_reasons: dict[str, str] = {}
        self._rolled_back: set[str] = set()
        self._unreported: dict[str, move_record.MoveRecord] = {}
        self._last_tick_s = clock()
        self._hold_until_s = self._last_tick_s + CATCH_UP_S
        link.register(version_cut.VersionCut, self._on_version_cut)

    def choose_version(self, service: str, route: str) -> str:
        """Returns the version that serves the next request.

        Error diffusion keeps the new version's fraction of the requests of
        each route at or below the share at any time.

        Args:
            service: Name of a service of the document.
            route: Prefix of the route.

        Raises:
            KeyError: The document has no such service.
        """
        split = self._splits[service]
        if (
            not split.share_ppm
            or self._wall_clock() >= split.deadline_s
            or self._clock() - self._last_tick_s >= PAUSE_THRESHOLD_S
        ):
            return split.old_version
        count = split.accumulated_ppm.get(route, 0) + split.share_ppm
        if count >= move_schedule.FULL_SHARE_PPM:
            split.accumulated_ppm[route] = count - move_schedule.FULL_SHARE_PPM
            return split.new_version
        split.accumulated_ppm[route] = count
        return split.old_version

    def record_sample(self, sample: sample_module.Sample) -> None:
        """Records the result of one request."""
        for analysis in self._analyses_by_route.get(sample.route, ()):
            analysis.record_sample(sample)

    def status(self) -> tuple[move_status.MoveStatus, ...]:
        """Returns the state of all moves of the document."""
        return tuple(self._status_of(move) for move in self._moves.values())

    def heartbeat_counts(self) -> dict[str, list[int]]:
        """Returns the counts for the next heartbeat.

        The key ``MOVE/ROUTE/VERSION`` holds the counts of that version. The
        key ``MOVE`` holds revision, token, step, share and verdict of the
        latest record, for daemons that do not read the store.
        """
        counts = {}
        for analysis in self._analyses.values():
            counts.update(analysis.totals())
        for move_id in self._moves:
            known = self._records.get(move_id)
            if known:
                revision, record = known
                counts[move_id] = [
                    revision,
                    record.token,
                    record.step,
                    record.share_ppm,
                    _VERDICTS.index(record.verdict),
                ]
        return counts

    def aborted_moves(self) -> tuple[str, ...]:
        """Returns the ids of the moves known to be aborted."""
        return tuple(self._abort_reasons)

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Applies the moves, services and routes of a newer document."""
        doc = stored.doc
        self._services = {item.name: item.version for item in doc.services}
        previous = self._moves
        self._moves = {
            item.id: item
            for item in sorted(doc.moves, key=lambda item: item.start_s)
        }
        routes: dict[str, list[str]] = {}
        for item in doc.routes:
            routes.setdefault(item.service, []).append(item.prefix)
        analyses = {}
        by_route: dict[str, list[canary_stats.CanaryAnalysis]] = {}
        for move in self._moves.values():
            names = tuple(routes.get(move.service, ()))
            analysis = self._analyses.get(move.id)
            if analysis is None or previous.get(move.id) != move:
                analysis = canary_stats.CanaryAnalysis(move, names)
            analysis.add_routes(names)
            analyses[move.id] = analysis
            for name in names:
                by_route.setdefault(name, []).append(analysis)
        self._analyses = analyses
        self._analyses_by_route = by_route
        self._prune()
        self._update_splits()

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Merges aborts, records and counts from the members' heartbeats."""
        self._view = view
        heartbeats = [item.heartbeat for item in view.live.values()]
        for heartbeat in heartbeats:
            for move_id in heartbeat.cuts:
                self._abort(move_id, f"cut by {heartbeat.vm_id}")
        for heartbeat in heartbeats:
            for move_id in self._moves:
                self._handle_heartbeat_record(
                    move_id, heartbeat.counts.get(move_id)
                )
            for move_id, analysis in self._analyses.items():
                if self._is_undecided(move_id):
                    analysis.merge(
                        (heartbeat.vm_id, heartbeat.incarnation),
                        heartbeat.counts,
                        self._wall_clock(),
                    )
        self.tick()

    def tick(self) -> None:
        """Checks the sample counts, the deadlines and for a pause."""
        now_s = self._clock()
        if now_s - self._last_tick_s >= PAUSE_THRESHOLD_S:
            self._hold_until_s = now_s + CATCH_UP_S
        self._last_tick_s = now_s
        wall_s = self._wall_clock()
        for move_id, analysis in self._analyses.items():
            if not self._is_undecided(move_id):
                continue
            reason = analysis.check(self._source, wall_s)
            if reason is not None:
                self._audit.record("move.cut", move_id, reason)
                self._abort(move_id, reason)
                self._send_abort(self._view.live, move_id)
        for move in self._moves.values():
            if (
                wall_s >= move.deadline_s
                and self._is_undecided(move.id)
                and move.id not in self._rolled_back
            ):
                self._rolled_back.add(move.id)
                self._audit.record(
                    "move.rolled_back", move.id, "no verdict at the deadline"
                )
        self._update_splits()

    async def read(self, wait_s: float = 0.0) -> None:
        """Reads the records from the store, waiting for newer ones.

        Raises:
            errors.StoreError: The store cannot be reached.
        """
        entry = await self._store.watch(MOVES_KEY, self._revision, wait_s)
        if entry is not None:
            self._handle_store_entry(entry)

    async def drive(self) -> None:
        """Acquires or renews the lease and writes the changes that are due.

        Raises:
            errors.StoreError: The store cannot be reached.
        """
        if not self._is_driver() or not self._needs_driver():
            return
        lease = await self._store.acquire_lease(
            LEASE_NAME, "/".join(self._source), LEASE_TTL_S
        )
        if lease is None:
            return
        entry = await self._store.get(MOVES_KEY)
        records = move_record.decode_all(entry.value) if entry else {}
        if records is None:
            logging.error("moves not driven: the recorded moves are malformed")
            return
        if entry is not None:
            self._handle_store_entry(entry)
        if move_schedule.is_fenced(records, lease.token):
            logging.warning(
                "moves not driven: a later lease holder has written"
            )
            return
        changes = self._next_records(records, lease)
        if changes and self._clock() < lease.expires_s - LEASE_MARGIN_S:
            await self._write(entry, records, changes)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tick_forever())
            group.create_task(self._read_forever())
            group.create_task(self._drive_forever())

    async def _tick_forever(self) -> None:
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _read_forever(self) -> None:
        while True:
            if not self._moves or not self._is_driver():
                await asyncio.sleep(WATCH_TIMEOUT_S)
                continue
            try:
                await self.read(WATCH_TIMEOUT_S)
            except errors.StoreError as exc:
                logging.warning("moves cannot be read: %s", exc)
                await asyncio.sleep(
                    self._rng.uniform(0.2, 1) * MAX_RETRY_DELAY_S
                )

    async def _drive_forever(self) -> None:
        while True:
            jitter = self._rng.uniform(1 - DRIVE_JITTER, 1 + DRIVE_JITTER)
            await asyncio.sleep(DRIVE_INTERVAL_S * jitter)
            try:
                await self.drive()
            except errors.StoreError as exc:
                logging.warning("moves cannot be driven: %s", exc)

    def _is_driver(self) -> bool:
        candidates = self._view.watcher_candidates(self._me.region)
        ranked = peer_rank.rank(MOVES_KEY, [*candidates, self._me.vm_id])
        return self._me.vm_id in ranked[:DRIVERS_PER_REGION]

    def _needs_driver(self) -> bool:
        now_s = self._wall_clock()
        return any(
            move.start_s <= now_s
            and (
                self._is_undecided(move.id)
                or (
                    move.id in self._abort_reasons
                    and not self._is_undone(move.id)
                )
            )
            for move in self._moves.values()
        )

    def _is_undecided(self, move_id: str) -> bool:
        known = self._records.get(move_id)
        return (
            known is None or known[1].verdict == "running"
        ) and move_id not in self._abort_reasons

    def _is_undone(self, move_id: str) -> bool:
        known = self._records.get(move_id)
        return known is not None and known[1].verdict == "undone"

    def _next_records(
        self,
        records: dict[str, move_record.MoveRecord],
        lease: store_lease.StoreLease,
    ) -> dict[str, move_record.MoveRecord]:
        now_s = self._wall_clock()
        changes = {}
        for move in self._moves.values():
            changed = move_schedule.next_record(
                move,
                records.get(move.id),
                self._abort_reasons.get(move.id),
                lease.token,
                now_s,
            )
            if changed is not None:
                changes[move.id] = changed
        return changes

    async def _write(
        self,
        entry: store_entry.StoreEntry | None,
        records: dict[str, move_record.MoveRecord],
        changes: dict[str, move_record.MoveRecord],
    ) -> None:
        now_s = self._wall_clock()
        kept = {
            move_id: record
            for move_id, record in records.items()
            if move_id in self._moves
            or record.verdict == "running"
            or now_s - record.time_s < RECORD_RETENTION_S
        }
        self._unreported = {
            move_id: record
            for move_id, record in changes.items()
            if move_id not in records
            or (record.step, record.verdict)
            != (records[move_id].step, records[move_id].verdict)
        }
        try:
            written = await self._store.put(
                MOVES_KEY,
                move_record.encode_all(kept | changes),
                entry.revision if entry else 0,
            )
        except errors.StoreConflictError:
            self._unreported = {}
            return
        self._handle_store_entry(written)

    def _handle_store_entry(self, entry: store_entry.StoreEntry) -> None:
        if entry.revision <= self._revision:
            return
        # A malformed value advances the revision too. Otherwise each watch
        # would return it immediately.
        self._revision = entry.revision
        records = move_record.decode_all(entry.value)
        if records is None:
            logging.error("moves ignored: the recorded moves are malformed")
            return
        for move_id, record in records.items():
            known = self._records.get(move_id)
            if known is None or known[0] < entry.revision:
                self._records[move_id] = (entry.revision, record)
            unreported = self._unreported.get(move_id)
            if unreported and (
                unreported.step,
                unreported.verdict,
                unreported.time_s,
            ) == (
                record.step,
                record.verdict,
                record.time_s,
            ):
                self._audit.record(
                    f"move.{record.verdict}",
                    move_id,
                    record.reason or f"share {record.share_ppm} ppm",
                )
        self._unreported = {}
        self._prune()
        self._update_splits()

    def _handle_heartbeat_record(
        self, move_id: str, values: list[int] | None
    ) -> None:
        if values is None or len(values) != 5:
            return
        revision, token, step, share_ppm, verdict = values
        known = self._records.get(move_id)
        if known is not None and known[0] >= revision:
            return
        if not 0 <= verdict < len(_VERDICTS):
            return
        self._records[move_id] = (
            revision,
            move_record.MoveRecord(
                token, step, share_ppm, _VERDICTS[verdict], "", 0.0
            ),
        )

    def _on_version_cut(self, sender: str, msg: version_cut.VersionCut) -> None:
        if self._abort(msg.move_id, msg.reason):
            # Forwarding makes up for lost messages without waiting for the
            # next heartbeat.
            names = list(self._view.live)
            count = min(len(names), ABORT_FANOUT)
            self._send_abort(self._rng.sample(names, count), msg.move_id)

    def _send_abort(self, names: Iterable[str], move_id: str) -> None:
        msg = version_cut.VersionCut(move_id, self._abort_reasons[move_id])
        for name in names:
            self._link.send(name, msg)

    def _abort(self, move_id: str, reason: str) -> bool:
        """Sets the share to 0 permanently.

        Returns:
            Whether the move was not aborted before.
        """
        if move_id in self._abort_reasons:
            return False
        self._abort_reasons[move_id] = reason
        self._update_splits()
        logging.warning("move %s aborted: %s", move_id, reason)
        return True

    def _prune(self) -> None:
        """Removes old state of moves that are not in the document.

        Records and aborts may arrive before the document that contains the
        move, so the latest ones are kept.
        """
        self._records = {
            move_id: known
            for move_id, known in self._records.items()
            if move_id in self._moves or known[0] == self._revision
        }
        self._rolled_back &= self._moves.keys()
        unknown = [
            item for item in self._abort_reasons if item not in self._moves
        ]
        for move_id in unknown[:-MAX_UNKNOWN_ABORTS]:
            del self._abort_reasons[move_id]

    def _share_of(self, move: move_module.Move) -> int:
        known = self._records.get(move.id)
        record = known[1] if known else None
        share_ppm = move_schedule.share_ppm(
            move, record, move.id in self._abort_reasons, self._wall_clock()
        )
        if (
            share_ppm == move_schedule.FULL_SHARE_PPM
            and record.verdict == "done"
        ):
            return share_ppm
        if move.id in self._rolled_back:
            return 0
        return 0 if self._clock() < self._hold_until_s else share_ppm

    def _update_splits(self) -> None:
        """Recomputes the traffic split of each service."""
        now_s = self._wall_clock()
        splits = {
            name: self._splits.get(name) or _TrafficSplit(version)
            for name, version in self._services.items()
        }
        for name, split in splits.items():
            split.old_version = self._services[name]
            split.share_ppm = 0
            split.deadline_s = math.inf
        for move in self._moves.values():
            split = splits.get(move.service)
            if split is None or move.start_s > now_s:
                continue
            share_ppm = self._share_of(move)
            known = self._records.get(move.id)
            if share_ppm and known[1].verdict == "done":
                split.old_version, split.share_ppm = move.to_version, 0
                continue
            if split.new_version != move.to_version:
                split.accumulated_ppm = {}
            split.old_version, split.new_version = (
                move.from_version,
                move.to_version,
            )
            split.share_ppm = share_ppm
            split.deadline_s = move.deadline_s
        self._splits = splits

    def _status_of(self, move: move_module.Move) -> move_status.MoveStatus:
        known = self._records.get(move.id)
        record = known[1] if known else None
        verdict = record.verdict if record else "waiting"
        reason = record.reason if record else ""
        if move.id in self._abort_reasons:
            verdict, reason = "undone", self._abort_reasons[move.id]
        elif move.id in self._rolled_back and verdict != "done":
            verdict = "undone"
            reason = reason or "no verdict at the deadline"
        return move_status.MoveStatus(
            id=move.id,
            service=move.service,
            from_version=move.from_version,
            to_version=move.to_version,
            deadline_s=move.deadline_s,
            step=record.step if record else -1,
            share_ppm=self._share_of(move),
            verdict=verdict,
            reason=reason,
            is_cut=move.id in self._abort_reasons,
        )

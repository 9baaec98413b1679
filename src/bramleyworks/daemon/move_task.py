"""The task that moves services to new versions."""

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
# A write that starts this long before the lease ends is abandoned.
LEASE_MARGIN_S = 1.0
DRIVE_INTERVAL_S = 2.0
DRIVE_JITTER = 0.5
TICK_INTERVAL_S = 0.25
WATCH_TIMEOUT_S = 2.0
MAX_RETRY_DELAY_S = 2.0
# A daemon that was paused this long may have missed a cut.
PAUSE_THRESHOLD_S = 2.0
# After a pause or a start, time to hear heartbeats of all neighbours (1 Hz).
CATCH_UP_S = 1.5
DRIVERS_PER_REGION = 2
MAX_UNKNOWN_ABORTS = 100
# Peers to which a daemon passes a cut on, the fan-out of the relay tree.
ABORT_FANOUT = 16
# Records of ended moves are removed after a day, when the document has
# forgotten the move.
RECORD_RETENTION_S = 86_400.0

_VERDICTS = ("running", "done", "undone")


class _TrafficSplit:
    """How one service's requests are divided between two versions."""

    __slots__ = (
        "old_version",
        "new_version",
        "share_ppm",
        "deadline_s",
        "accumulated_ppm",
    )

    def __init__(self, old: str):
        self.old_version = old
        self.new_version = old
        self.share_ppm = 0
        self.deadline_s = math.inf
        self.accumulated_ppm: dict[str, int] = {}


class MoveTask:
    """Applies, watches and, while it holds the lease, drives moves.

    Two daemons of each region read the store value ``moves`` and try for the
    lease; the others learn the records from heartbeats.
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

        Error diffusion keeps the new version's part of each route's requests
        at or below the share at any time.

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
        """Takes the result of one request."""
        for evidence in self._analyses_by_route.get(sample.route, ()):
            evidence.record_sample(sample)

    def status(self) -> tuple[move_status.MoveStatus, ...]:
        """Returns the state of all moves of the document."""
        return tuple(self._status_of(plan) for plan in self._moves.values())

    def heartbeat_counts(self) -> dict[str, list[int]]:
        """Returns the counts for the next heartbeat.

        The key ``MOVE/ROUTE/VERSION`` has the counts of that version. The key
        ``MOVE`` has revision, token, step, share and verdict of the newest
        record, so that daemons that do not read the store learn it.
        """
        counts = {}
        for evidence in self._analyses.values():
            counts.update(evidence.totals())
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
        """Returns the ids of the moves known to be cut."""
        return tuple(self._abort_reasons)

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Takes the moves, services and routes of a newer document."""
        doc = stored.doc
        self._services = {item.name: item.version for item in doc.services}
        known = self._moves
        self._moves = {
            item.id: item
            for item in sorted(doc.moves, key=lambda item: item.start_s)
        }
        routes: dict[str, list[str]] = {}
        for item in doc.routes:
            routes.setdefault(item.service, []).append(item.prefix)
        evidence = {}
        by_route: dict[str, list[canary_stats.CanaryAnalysis]] = {}
        for plan in self._moves.values():
            names = tuple(routes.get(plan.service, ()))
            kept = self._analyses.get(plan.id)
            if kept is None or known.get(plan.id) != plan:
                kept = canary_stats.CanaryAnalysis(plan, names)
            kept.add_routes(names)
            evidence[plan.id] = kept
            for name in names:
                by_route.setdefault(name, []).append(kept)
        self._analyses = evidence
        self._analyses_by_route = by_route
        self._prune()
        self._update_splits()

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Takes cuts, records and counts from the members' heartbeats."""
        self._view = view
        beats = [item.heartbeat for item in view.live.values()]
        for beat in beats:
            for move_id in beat.cuts:
                self._abort(move_id, f"cut by {beat.vm_id}")
        for beat in beats:
            for move_id in self._moves:
                self._handle_heartbeat_record(move_id, beat.counts.get(move_id))
            for move_id, evidence in self._analyses.items():
                if self._is_undecided(move_id):
                    evidence.merge(
                        (beat.vm_id, beat.incarnation),
                        beat.counts,
                        self._wall_clock(),
                    )
        self.tick()

    def tick(self) -> None:
        """Looks for evidence, pauses and passed deadlines."""
        now_s = self._clock()
        if now_s - self._last_tick_s >= PAUSE_THRESHOLD_S:
            self._hold_until_s = now_s + CATCH_UP_S
        self._last_tick_s = now_s
        wall_s = self._wall_clock()
        for move_id, evidence in self._analyses.items():
            if not self._is_undecided(move_id):
                continue
            reason = evidence.check(self._source, wall_s)
            if reason is not None:
                self._audit.record("move.cut", move_id, reason)
                self._abort(move_id, reason)
                self._send_abort(self._view.live, move_id)
        for plan in self._moves.values():
            if (
                wall_s >= plan.deadline_s
                and self._is_undecided(plan.id)
                and plan.id not in self._rolled_back
            ):
                self._rolled_back.add(plan.id)
                self._audit.record(
                    "move.rolled_back", plan.id, "no verdict at the deadline"
                )
        self._update_splits()

    async def read(self, wait_s: float = 0.0) -> None:
        """Reads the records from the store, waiting for newer ones.

        Raises:
            errors.StoreError: The store can not be reached.
        """
        entry = await self._store.watch(MOVES_KEY, self._revision, wait_s)
        if entry is not None:
            self._handle_store_entry(entry)

    async def drive(self) -> None:
        """Takes or renews the lease and makes the next change, if any.

        Raises:
            errors.StoreError: The store can not be reached.
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
            logging.error("move.drive: the store value is malformed")
            return
        if entry is not None:
            self._handle_store_entry(entry)
        if move_schedule.is_fenced(records, lease.token):
            logging.warning("move.drive: a later driver has written")
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
                logging.warning("moves can not be read: %s", exc)
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
                logging.warning("moves can not be driven: %s", exc)

    def _is_driver(self) -> bool:
        same = self._view.watcher_candidates(self._me.region)
        ranked = peer_rank.rank(MOVES_KEY, [*same, self._me.vm_id])
        return self._me.vm_id in ranked[:DRIVERS_PER_REGION]

    def _needs_driver(self) -> bool:
        now_s = self._wall_clock()
        return any(
            plan.start_s <= now_s
            and (
                self._is_undecided(plan.id)
                or (
                    plan.id in self._abort_reasons
                    and not self._is_undone(plan.id)
                )
            )
            for plan in self._moves.values()
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
        for plan in self._moves.values():
            changed = move_schedule.next_record(
                plan,
                records.get(plan.id),
                self._abort_reasons.get(plan.id),
                lease.token,
                now_s,
            )
            if changed is not None:
                changes[plan.id] = changed
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
        # Also for a malformed value, or the watch would return it at once
        # again and again.
        self._revision = entry.revision
        records = move_record.decode_all(entry.value)
        if records is None:
            logging.error("move.read: the store value is malformed")
            return
        for move_id, record in records.items():
            known = self._records.get(move_id)
            if known is None or known[0] < entry.revision:
                self._records[move_id] = (entry.revision, record)
            mine = self._unreported.get(move_id)
            if mine and (mine.step, mine.verdict, mine.time_s) == (
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
            # Passing it on makes a lost message harmless, also before the
            # next heartbeat.
            names = list(self._view.live)
            count = min(len(names), ABORT_FANOUT)
            self._send_abort(self._rng.sample(names, count), msg.move_id)

    def _send_abort(self, names: Iterable[str], move_id: str) -> None:
        msg = version_cut.VersionCut(move_id, self._abort_reasons[move_id])
        for name in names:
            self._link.send(name, msg)

    def _abort(self, move_id: str, reason: str) -> bool:
        """Sets the share to 0 for good; returns whether the cut is new."""
        if move_id in self._abort_reasons:
            return False
        self._abort_reasons[move_id] = reason
        self._update_splits()
        logging.warning("move %s is cut: %s", move_id, reason)
        return True

    def _prune(self) -> None:
        """Drops old state of moves that are not in the document.

        Records and cuts may arrive before the document that has the move, so
        the newest ones stay.
        """
        self._records = {
            move_id: known
            for move_id, known in self._records.items()
            if move_id in self._moves or known[0] == self._revision
        }
        self._rolled_back &= self._moves.keys()
        foreign = [
            item for item in self._abort_reasons if item not in self._moves
        ]
        for move_id in foreign[:-MAX_UNKNOWN_ABORTS]:
            del self._abort_reasons[move_id]

    def _share_of(self, plan: move_module.Move) -> int:
        known = self._records.get(plan.id)
        record = known[1] if known else None
        share_ppm = move_schedule.share_ppm(
            plan, record, plan.id in self._abort_reasons, self._wall_clock()
        )
        if (
            share_ppm == move_schedule.FULL_SHARE_PPM
            and record.verdict == "done"
        ):
            return share_ppm
        if plan.id in self._rolled_back:
            return 0
        return 0 if self._clock() < self._hold_until_s else share_ppm

    def _update_splits(self) -> None:
        """Computes the split of each service anew."""
        now_s = self._wall_clock()
        splits = {
            name: self._splits.get(name) or _TrafficSplit(version)
            for name, version in self._services.items()
        }
        for name, split in splits.items():
            split.old_version = self._services[name]
            split.share_ppm = 0
            split.deadline_s = math.inf
        for plan in self._moves.values():
            split = splits.get(plan.service)
            if split is None or plan.start_s > now_s:
                continue
            share_ppm = self._share_of(plan)
            known = self._records.get(plan.id)
            if share_ppm and known[1].verdict == "done":
                split.old_version, split.share_ppm = plan.to_version, 0
                continue
            if split.new_version != plan.to_version:
                split.accumulated_ppm = {}
            split.old_version, split.new_version = (
                plan.from_version,
                plan.to_version,
            )
            split.share_ppm = share_ppm
            split.deadline_s = plan.deadline_s
        self._splits = splits

    def _status_of(self, plan: move_module.Move) -> move_status.MoveStatus:
        known = self._records.get(plan.id)
        record = known[1] if known else None
        verdict = record.verdict if record else "waiting"
        reason = record.reason if record else ""
        if plan.id in self._abort_reasons:
            verdict, reason = "undone", self._abort_reasons[plan.id]
        elif plan.id in self._rolled_back and verdict != "done":
            verdict = "undone"
            reason = reason or "no verdict at the deadline"
        return move_status.MoveStatus(
            id=plan.id,
            service=plan.service,
            from_version=plan.from_version,
            to_version=plan.to_version,
            deadline_s=plan.deadline_s,
            step=record.step if record else -1,
            share_ppm=self._share_of(plan),
            verdict=verdict,
            reason=reason,
            is_cut=plan.id in self._abort_reasons,
        )

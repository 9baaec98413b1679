"""The task that maintains this VM's entry in the ledger."""

import asyncio
import random
import time
from collections.abc import Callable

from absl import logging

from bramleyworks import errors
from bramleyworks.adapters import store as store_lib
from bramleyworks.daemon import audit_sink
from bramleyworks.daemon import identity
from bramleyworks.document import stored_config
from bramleyworks.policy import fleet_view
from bramleyworks.policy import ledger as ledger_lib
from bramleyworks.policy import share_ledger

TICK_INTERVAL_S = 0.2
LEAVE_POLL_INTERVAL_S = 0.05


class LedgerTask:
    """Owns this VM's state of the ledger; the only writer of its entry.

    Args:
        me: Identity of this process.
        store: The platform's store.
        audit: Receives the audit entries.
        clock: Monotonic time in seconds.
        rng: Returns random numbers in [0, 1).
    """

    def __init__(
        self,
        me: identity.Identity,
        store: store_lib.Store,
        audit: audit_sink.AuditSink,
        clock: Callable[[], float] = time.monotonic,
        rng: Callable[[], float] = random.random,
    ):
        self._store = store
        self._audit = audit
        self._clock = clock
        self._rng = rng
        now_s = clock()
        self._state = share_ledger.ShareState(
            me.vm_id, me.incarnation, me.region, now_s
        )
        self._last_tick_s = now_s
        self._units = 0
        self._upstreams: frozenset[str] = frozenset()
        self._owners: dict[str, str] = {}
        self._owners_ledger: ledger_lib.Ledger | None = None
        self._valid_from_s = 0.0
        self._valid_until_s = 0.0

    def units(self) -> int:
        """Returns the units that may be used now."""
        return self.units_at(self._clock())

    def units_at(self, now_s: float) -> int:
        """Returns the units that may be used now.

        Args:
            now_s: Current monotonic time in seconds.
        """
        if now_s - self._last_tick_s > share_ledger.PAUSE_THRESHOLD_S:
            self._handle_pause(now_s)
        if self._valid_from_s <= now_s < self._valid_until_s:
            return self._units
        return 0

    def owned(self) -> frozenset[str]:
        """Returns the upstreams that this VM owns now."""
        now_s = self._clock()
        if now_s - self._last_tick_s > share_ledger.PAUSE_THRESHOLD_S:
            self._handle_pause(now_s)
        if self._valid_from_s <= now_s < self._valid_until_s:
            return self._upstreams
        return frozenset()

    def owner_of(self, upstream: str) -> str | None:
        """Returns the VM that owned an upstream in the latest known ledger."""
        return self._owners.get(upstream)

    def epoch(self) -> int:
        """Returns the latest epoch read, 0 if there is none."""
        return share_ledger.epoch(self._state)

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Applies the upstreams of a newer configuration."""
        self._set_state(
            share_ledger.on_upstreams(
                self._state,
                tuple((up.name, up.region) for up in stored.doc.upstreams),
            )
        )

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Applies a new view of the fleet."""
        now_s = self._clock()
        self._tick(now_s)
        self._set_state(
            share_ledger.on_fleet(self._state, now_s, view, self._rng())
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            # Separate tasks, so that a slow store is not mistaken for a pause
            # of this process.
            group.create_task(self._tick_forever())
            group.create_task(self._step_forever())

    async def step(self) -> None:
        """Reads or writes the ledger if either is due."""
        now_s = self._clock()
        self._tick(now_s)
        state, action = share_ledger.on_tick(self._state, now_s, self._rng())
        self._set_state(state)
        if isinstance(action, share_ledger.Read):
            await self._read()
        elif isinstance(action, share_ledger.Write):
            await self._write(action)

    async def leave(self, timeout_s: float = 5.0) -> bool:
        """Releases units and upstreams before a planned stop.

        ``run`` must be running meanwhile. Heartbeats should continue for one
        more second, so that the other VMs learn of the free units without
        delay.

        Args:
            timeout_s: Longest time to wait in seconds.

        Returns:
            Whether the ledger no longer contains an entry of this process.
        """
        now_s = self._clock()
        self._set_state(share_ledger.on_leave(self._state, now_s))
        while share_ledger.own_entry(self._state) is not None:
            if self._clock() - now_s > timeout_s:
                return False
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
        return True

    async def _tick_forever(self) -> None:
        while True:
            self._tick(self._clock())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _step_forever(self) -> None:
        while True:
            await self.step()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self, now_s: float) -> None:
        if now_s - self._last_tick_s > share_ledger.PAUSE_THRESHOLD_S:
            self._handle_pause(now_s)
        self._last_tick_s = now_s

    def _handle_pause(self, now_s: float) -> None:
        gap_s = now_s - self._last_tick_s
        logging.warning("no progress for %.1f s; units set to zero", gap_s)
        self._audit.record(
            "ledger.paused", self._state.vm_id, f"no progress for {gap_s:.1f} s"
        )
        self._last_tick_s = now_s
        self._set_state(share_ledger.on_pause(self._state, now_s))

    def _set_state(self, state: share_ledger.ShareState) -> None:
        before = self._state
        if state is before:
            return
        self._state = state
        self._units = share_ledger.local_units(state)
        self._upstreams = share_ledger.local_upstreams(state)
        self._valid_from_s = share_ledger.usable_from_s(state)
        self._valid_until_s = share_ledger.valid_until_s(state)
        if state.known is not self._owners_ledger:
            self._owners_ledger = state.known
            self._owners = share_ledger.owners(state)
        if before.joined and not state.joined:
            cause = (
                "a later incarnation holds the entry"
                if state.superseded
                else "another VM removed the entry"
            )
            logging.warning("ledger entry lost: %s", cause)
            self._audit.record("ledger.lost", state.vm_id, cause)

    async def _read(self) -> None:
        sent_s = self._clock()
        try:
            entry = await self._store.get(ledger_lib.LEDGER_KEY)
        except errors.StoreError as exc:
            self._handle_failure(exc)
            return
        value = None
        if entry is not None:
            decoded = ledger_lib.decode(entry.value)
            if decoded.is_err():
                self._handle_failure(decoded.unwrap_err())
                return
            value = decoded.unwrap()
        self._set_state(
            share_ledger.on_read(
                self._state,
                sent_s,
                self._clock(),
                value,
                entry.revision if entry is not None else 0,
            )
        )

    async def _write(self, write: share_ledger.Write) -> None:
        sent_s = self._clock()
        try:
            entry = await self._store.put(
                ledger_lib.LEDGER_KEY,
                ledger_lib.encode(write.ledger),
                write.expected_revision,
            )
        except errors.StoreConflictError:
            self._set_state(
                share_ledger.on_failed(
                    self._state, self._clock(), self._rng(), conflict=True
                )
            )
            return
        except errors.StoreError as exc:
            self._handle_failure(exc)
            return
        self._set_state(
            share_ledger.on_written(
                self._state, sent_s, self._clock(), write, entry.revision
            )
        )
        for kind, subject in write.audit_events:
            self._audit.record(kind, subject, f"epoch {write.ledger.epoch}")

    def _handle_failure(self, exc: errors.StoreError) -> None:
        logging.log_every_n_seconds(
            logging.WARNING, "ledger cannot be read or written: %s", 10, exc
        )
        self._set_state(
            share_ledger.on_failed(self._state, self._clock(), self._rng())
        )

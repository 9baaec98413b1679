"""Records windows of usage in the store and reports them to the service.

A report is sent only when its content is recorded. Whoever holds the duty later
repeats the same content, so that no two different reports exist for a window.
"""

import asyncio
import math
from collections.abc import Callable
from collections.abc import Collection

from absl import logging

from bramleyworks import errors
from bramleyworks.gateway import duty_holder
from bramleyworks.gateway import event_log
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.gateway import usage_exchange
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_store
from bramleyworks.platform import usage_service
from bramleyworks.platform import wire_duty
from bramleyworks.policy import fleet_clock
from bramleyworks.policy import usage_counts
from bramleyworks.policy import usage_schedule

POLL_INTERVAL_S = 0.25
# Part of the accepted calls a second that is used, since the service also
# counts calls that are executed late.
CALL_RATE_FRACTION = 0.5
# Pause after a call that was refused with 429 or had no response, and after a
# failed call to the store.
RETRY_DELAY_S = 0.5
# Time without any response of the service after which another VM should try.
# The link of this VM may be at fault.
FAILING_S = 3.0


class UsageReporter:
    """Records and reports windows while this VM holds the duty."""

    def __init__(
        self,
        vm_id: str,
        holder: duty_holder.DutyHolder,
        store: kv_store.KvStore,
        replica: store_replica_module.StoreReplica,
        service: usage_service.UsageService,
        exchange: usage_exchange.UsageExchange,
        collection: usage_counts.UsageCollection,
        shared_clock: fleet_clock.FleetClock,
        schedule: usage_schedule.UsageSchedule,
        known: Callable[[], Collection[str]],
        live: Callable[[], Collection[str]],
        calls_per_s: float,
        first_call_delay_s: float,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Initializes the reporter.

        Args:
            vm_id: Name of this VM.
            holder: Holder of the duty.
            store: Client of the store.
            replica: What this VM knows of the store.
            service: Client of the platform's service.
            exchange: Receives the counts of other VMs.
            collection: Counts of all VMs.
            shared_clock: Shared time of day.
            schedule: Times of windows.
            known: Returns the names of all VMs.
            live: Returns those of the VMs whose heartbeats arrive.
            calls_per_s: Calls a second that the service accepts.
            first_call_delay_s: Seconds after becoming the holder before which
                nothing is sent.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self._vm_id = vm_id
        self._holder = holder
        self._store = store
        self._replica = replica
        self._service = service
        self._exchange = exchange
        self._collection = collection
        self._shared_clock = shared_clock
        self._schedule = schedule
        self._known_vms = known
        self._live_vms = live
        self._call_interval_s = 1.0 / (CALL_RATE_FRACTION * calls_per_s)
        self._first_call_delay_s = first_call_delay_s
        self._log = log
        self._clock = clock
        # Token for which the records were read, None if they must be.
        self._loaded_token: int | None = None
        # Content of recorded windows; None if it can not be read.
        self._records: dict[int, dict[str, int] | None] = {}
        # Windows that were sent, and recorded, with this token.
        self._sent: set[int] = set()
        self._recorded_here: set[int] = set()
        # Content that this VM has recorded or seen, also if the store has lost
        # it since.
        self._known: dict[int, dict[str, int]] = {}
        # Era of the store, and shared time of day at which it was restored.
        self._era = 0
        self._restored_s = -math.inf
        self._next_call_s = -math.inf
        self._failing_since_s: float | None = None
        self._reported_s = -math.inf
        self.covered = 0

    @property
    def report_age_s(self) -> float | None:
        """Seconds since the last report of this VM, None before the first."""
        age_s = self._clock() - self._reported_s
        return age_s if math.isfinite(age_s) else None

    async def run(self) -> None:
        """Reports windows until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Records and sends what is due, if this VM holds the duty."""
        try:
            await self._report()
        except errors.StoreError as exc:
            logging.info("usage not recorded: %s", exc)
            if isinstance(
                exc, (errors.StoreConflictError, errors.StoreUnknownError)
            ):
                # What was written is read before anything else.
                self._loaded_token = None
            await asyncio.sleep(RETRY_DELAY_S)

    async def _report(self) -> None:
        self._note_era()
        token = self._holder.token
        if token is None:
            self.covered = 0
            return
        held_s = self._clock() - self._holder.acquired_s
        if held_s < self._first_call_delay_s:
            return
        if self._loaded_token != token:
            await self._load(token)
            if self._loaded_token != token:
                return
        self._exchange.collect_own()
        known = self._known_vms()
        self.covered = len(known) - self._exchange.missing(known)
        await self._record_due(token, held_s)
        for window in sorted(self._records.keys() - self._sent):
            if not await self._send(token, window):
                return

    async def _record_due(self, token: int, held_s: float) -> None:
        """Records the windows that are due, also while the service is away."""
        time_s = self._shared_clock.time_s(self._clock())
        first = self._schedule.window_of(time_s - held_s)
        counted = self._collection.oldest()
        if counted is not None:
            first = min(first, counted)
        if self._known:
            # What came before was recorded, and its record removed since.
            first = min(self._known)
        for window in self._schedule.unrecorded(time_s, self._records, first):
            content = self._known.get(window)
            if content is None:
                if self._may_be_lost(window):
                    continue
                covering_s = self._schedule.covering_s(window)
                if not self._schedule.is_ready(
                    window,
                    time_s,
                    held_s,
                    self._exchange.missing(self._known_vms(), covering_s),
                    self._exchange.missing(self._live_vms(), covering_s),
                ):
                    continue
                content = self._collection.total(window)
            if not await self._record(token, window, content):
                return

    def _note_era(self) -> None:
        """Notes a restore of the store, which may have lost records."""
        if self._store.era == self._era:
            return
        if self._era:
            self._restored_s = self._shared_clock.time_s(self._clock())
        self._era = self._store.era

    def _may_be_lost(self, window: int) -> bool:
        """Returns whether the store may have lost the record of a window.

        What the last holder recorded just before a restore may be known to no
        other VM, which must not record other content.
        """
        return (
            self._holder.continued_era != self._era
            and self._schedule.collect_s(window) < self._restored_s
        )

    async def _load(self, token: int) -> None:
        """Reads the records from the store."""
        key, revision = next(iter(self._holder.condition.items()))
        position, items = await self._store.list_items(key)
        if self._holder.token != token or position.era != self._era:
            return
        found = {item.key: item for item in items}
        if key not in found or found[key].revision != revision:
            await self._holder.resign("another VM has the key")
            return
        self._records = {}
        for item in items:
            self._add_record(item, self._records)
        lost: dict[int, dict[str, int] | None] = {}
        for item in self._replica.items():
            if item.lost is not None:
                self._add_record(item, lost)
        for window, content in (lost | self._records).items():
            if content is not None:
                self._known[window] = content
        self._trim()
        self._sent.clear()
        self._recorded_here.clear()
        self._failing_since_s = None
        self._loaded_token = token

    def _add_record(
        self, item: kv_item.KvItem, records: dict[int, dict[str, int] | None]
    ) -> None:
        """Decodes a record; a malformed one is logged and never replaced."""
        window = wire_duty.window_of_key(self._holder.duty, item.key)
        if window is None:
            return
        decoded = wire_duty.decode_counts(item.value)
        if decoded.is_err():
            logging.warning("%s: %s", item.key, decoded.unwrap_err())
            records[window] = None
        else:
            records[window] = decoded.unwrap()

    def _trim(self) -> None:
        """Forgets content that is not needed any more."""
        if self._known:
            oldest = max(self._known) - usage_schedule.KEPT_RECORDS
            self._known = {w: c for w, c in self._known.items() if w >= oldest}

    async def _record(
        self, token: int, window: int, content: dict[str, int]
    ) -> bool:
        """Writes the content of a window; returns whether it may be sent.

        Raises:
            errors.StoreError: It may or may not be written. The records are
                read again before anything else.
        """
        if self._holder.token != token:
            return False
        duty = self._holder.duty
        key = wire_duty.record_key(duty, window)
        unsent = self._records.keys() - self._sent
        old = usage_schedule.removable(self._records, unsent)
        await self._store.commit(
            {**self._holder.condition, key: 0},
            {key: wire_duty.encode_counts(content)},
            [wire_duty.record_key(duty, w) for w in old],
        )
        if self._holder.token != token:
            return False
        self._records[window] = self._known[window] = content
        self._recorded_here.add(window)
        for removed in old:
            del self._records[removed]
            self._sent.discard(removed)
            self._recorded_here.discard(removed)
        self._trim()
        return True

    async def _send(self, token: int, window: int) -> bool:
        """Sends a report; returns whether the next one may follow."""
        content = self._records[window]
        if content is None:
            self._sent.add(window)
            return True
        await asyncio.sleep(max(0.0, self._next_call_s - self._clock()))
        if self._holder.token != token:
            return False
        self._next_call_s = self._clock() + self._call_interval_s
        try:
            found = await self._service.report(
                self._vm_id, token, window, content
            )
        except errors.PlatformError as exc:
            logging.info("usage not reported: %s", exc)
            await self._note_failure()
            return False
        self._failing_since_s = None
        if found is usage_service.ReportResult.FENCED:
            self._log.write(
                "duty.refused",
                duty=self._holder.duty,
                token=token,
                window=window,
                reason="a higher token was seen",
            )
            await self._holder.resign("refused")
            return False
        if found is usage_service.ReportResult.TOO_MANY:
            await asyncio.sleep(RETRY_DELAY_S)
            return False
        self._sent.add(window)
        self._reported_s = self._clock()
        end_s = (window + 1) * self._schedule.report_s
        self._log.write(
            "duty.reported",
            duty=self._holder.duty,
            token=token,
            window=window,
            organisations=len(content),
            requests=sum(content.values()),
            covered=self.covered,
            after_s=round(
                self._shared_clock.time_s(self._reported_s) - end_s, 2
            ),
            repeat=window not in self._recorded_here,
        )
        return True

    async def _note_failure(self) -> None:
        """Notes a call without response; gives up the duty after several."""
        now_s = self._clock()
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        is_failing = now_s - self._failing_since_s >= FAILING_S
        if is_failing and len(self._known_vms()) > 1:
            await self._holder.resign("the service does not respond")
            return
        await asyncio.sleep(RETRY_DELAY_S)

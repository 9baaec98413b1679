"""Assigns upstream slots to requests: own, borrowed and in other regions."""

import asyncio
import dataclasses
import math
import time
from collections.abc import Callable

import result
from absl import logging

from bramleyworks.daemon import identity
from bramleyworks.daemon import link_limiter
from bramleyworks.daemon import message_link
from bramleyworks.daemon import pending_release
from bramleyworks.daemon import slot
from bramleyworks.daemon import slot_refusal
from bramleyworks.daemon import slot_request
from bramleyworks.daemon import slot_waiter
from bramleyworks.daemon import upstream_ownership
from bramleyworks.document import document
from bramleyworks.document import stored_config
from bramleyworks.document import upstream as upstream_lib
from bramleyworks.messages import slot_ask
from bramleyworks.messages import slot_cancel
from bramleyworks.messages import slot_loan
from bramleyworks.messages import slot_refuse
from bramleyworks.messages import slot_release
from bramleyworks.messages import slot_returned
from bramleyworks.policy import fleet_view
from bramleyworks.policy import probe_result
from bramleyworks.policy import retry_budget
from bramleyworks.policy import shift
from bramleyworks.policy import shift_ramp
from bramleyworks.policy import slot_borrower
from bramleyworks.policy import slot_lender
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import slot_owner
from bramleyworks.policy import wait_estimate

TICK_S = 0.02
# Each wake-up of an idle process costs about 60 us of CPU time, and nothing can
# become due while no slot is in use and no request waits.
IDLE_TICK_S = 0.1
# A longer gap between two calls means that the process was paused. The ledger
# may have assigned its upstreams to other VMs in the meantime.
PAUSE_THRESHOLD_S = 2.0
# After a pause, the ledger task may need this long to detect that this VM was
# removed from the ledger.
RESUME_HOLD_S = 3.0
# Pending loan requests of one request in its own region. Each additional one
# finds a free slot sooner and costs a message and its cancellation.
MAX_LOCAL_ASKS = 3
# An owner in the same region responds in about 2 ms.
ASK_INTERVAL_S = 0.003
# A request of a version with a small share joins its own VM's queue only after
# the owners that rank before this VM had time to respond.
OWN_QUEUE_DELAY_S = 0.01
MIN_WAIT_S = 0.001
RECHECK_INTERVAL_S = 0.25
SHIFT_RETRY_INTERVAL_S = 0.1
# Free slots in heartbeats are up to a second old, but a slot is reused several
# times per second. An owner in another region that reported none is therefore
# probed with one loan request at a time, and not again for this long after a
# refusal.
SHIFT_PROBE_BACKOFF_S = 0.1
# A slot in another region stays idle while link tokens for it are borrowed, so
# the time for that is short.
LINK_TOKEN_TIMEOUT_S = 0.05
# Interval at which a release is sent until the owner confirms it. An owner in
# another region responds in about 0.1 s. A lost release would keep a slot idle
# for the maximum duration of a request.
RELEASE_RETRY_S = 0.5


class SlotTask:
    """Assigns a slot of an upstream to each request.

    The owner of an upstream holds the authoritative count: a request runs only
    with a slot acquired from that owner, and each slot is for one request.
    Slots come from this VM's own upstreams, as loans from other owners in the
    region, or, as a shift, from other regions within the link limits.

    Args:
        me: Identity of this process.
        link: Link to the peers.
        ledger: Ownership of upstreams.
        limits: Limits of the links between regions.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        me: identity.Identity,
        link: message_link.MessageLink,
        ledger: upstream_ownership.UpstreamOwnership,
        limits: link_limiter.LinkLimiter,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._me = me
        self._link = link
        self._ledger = ledger
        self._limits = limits
        self._clock = clock
        tag = f"{me.vm_id}.{me.incarnation}"
        self._owner = slot_owner.SlotOwner(tag, me.region)
        self._lender = slot_lender.Lender(self._owner)
        self._borrower = slot_borrower.Borrower(tag)
        self._doc = document.Document()
        self._services = {}
        self._specs: dict[str, upstream_lib.Upstream] = {}
        self._upstreams_by_pool: dict[slot_owner.PoolKey, list[str]] = {}
        self._drained: frozenset[str] = frozenset()
        self._drained_regions: frozenset[str] = frozenset()
        self._view = fleet_view.FleetView(me.vm_id, {})
        # Slots requested from a peer since its last heartbeat, by peer and
        # pool: the heartbeat's sequence number and the number of slots.
        self._taken_slots: dict[tuple[str, str], tuple[int, int]] = {}
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self._wait_estimates: dict[
            slot_owner.PoolKey, wait_estimate.WaitEstimate
        ] = {}
        self._shift_ramps: dict[str, shift_ramp.ShiftRamp] = {}
        # Time from which an owner in another region that reported no free slot
        # may be probed, by owner and service.
        self._next_shift_probe_s: dict[tuple[str, str], float] = {}
        self._pending_releases: dict[
            tuple[str, int], pending_release.PendingRelease
        ] = {}
        self._rotation = 0
        self._last_call_s = clock()
        self._hold_until_s = -math.inf
        link.register(slot_ask.SlotAsk, self._on_ask)
        link.register(slot_cancel.SlotCancel, self._on_cancel)
        link.register(slot_loan.SlotLoan, self._on_loan)
        link.register(slot_refuse.SlotRefuse, self._on_refuse)
        link.register(slot_release.SlotRelease, self._on_release)
        link.register(slot_returned.SlotReturned, self._on_returned)

    # Acquiring and releasing slots.

    def try_acquire(
        self, request: slot_request.SlotRequest
    ) -> slot.Slot | None:
        """Acquires a free slot of an own upstream without waiting.

        Returns:
            The slot, or None if none is available at once. The caller then
            calls ``acquire`` with the same request.
        """
        now_s = self._sync_ownership()
        if now_s >= request.deadline_s:
            return None
        if self._prefers_peers(request):
            return None
        acquired = self._acquire_owned(request, now_s)
        if acquired is not None:
            self._record_request(request, 0.0, now_s)
        return acquired

    async def acquire(
        self, request: slot_request.SlotRequest
    ) -> result.Result[slot.Slot, slot_refusal.SlotRefusal]:
        """Waits for a slot of this VM, of the region, then of other regions.

        A slot that is assigned while the caller is being cancelled is released.

        Returns:
            The slot, or why there is none.
        """
        acquired = self.try_acquire(request)
        if acquired is not None:
            return result.Ok(acquired)
        now_s = self._clock()
        if request.service not in self._services:
            return self._make_refusal(request, "unknown service")
        if now_s >= request.deadline_s:
            return self._make_refusal(request, "deadline passed")
        waiter = slot_waiter.SlotWaiter(request, now_s)
        if self._prefers_peers(request):
            waiter.join_queue_s = now_s + OWN_QUEUE_DELAY_S
        elif not self._enqueue(waiter, now_s):
            return self._make_refusal(request, "queue full")
        returned = False
        try:
            while True:
                now_s = self._sync_ownership()
                if waiter.slot is not None:
                    # Time may have passed since the slot was granted.
                    if now_s >= min(request.deadline_s, waiter.slot.start_by_s):
                        return self._make_refusal(request, "slot came too late")
                    returned = True
                    self._record_request(
                        request, now_s - waiter.started_s, now_s
                    )
                    return result.Ok(waiter.slot)
                if now_s >= request.deadline_s:
                    self._record_request(
                        request, now_s - waiter.started_s, now_s
                    )
                    return self._make_refusal(
                        request, "deadline passed in the queue"
                    )
                if waiter.shift_slot is not None:
                    await self._wait_for_link_tokens(waiter)
                    continue
                wake_s = self._advance_waiter(waiter, now_s)
                if waiter.slot is None:
                    # A wake-up time in the past must not cause a busy loop.
                    wake_s = max(
                        min(wake_s, request.deadline_s), now_s + MIN_WAIT_S
                    )
                    await waiter.wait(wake_s - now_s)
        finally:
            self._cancel_pending(waiter)
            if waiter.slot is not None and not returned:
                self.release(waiter.slot, slot_outcome.SlotOutcome.NEUTRAL)

    def release(
        self, taken: slot.Slot, outcome: slot_outcome.SlotOutcome
    ) -> None:
        """Releases a slot; further calls for the same slot have no effect."""
        now_s = self._sync_ownership()
        if taken.owner is None:
            use = self._owner.release(taken.loan_id, outcome, now_s)
            if use is not None:
                self._grant(use.pool, now_s)
        elif self._borrower.finish(taken.owner, taken.loan_id):
            self._send_release(
                taken.owner, taken.loan_id, outcome, taken.expires_s
            )

    def may_retry(self, service: str) -> bool:
        """Consumes a retry of the service's budget; False if there is none."""
        budget = self._retry_budgets.get(service, retry_budget.RetryBudget())
        self._retry_budgets[service], allowed = retry_budget.take(budget)
        return allowed

    def free_slots(self) -> dict[str, int]:
        """Returns the free slots that this VM could lend, for heartbeats."""
        return self._owner.free_slots(self._sync_ownership())

    def owned(self) -> dict[str, upstream_lib.Upstream]:
        """Returns the upstreams that this VM owns and probes, by name."""
        names = self._owner.owned
        return {n: self._specs[n] for n in names if n in self._specs}

    def on_probe(
        self,
        upstream: str,
        reading: probe_result.ProbeResult | None,
        started_s: float,
    ) -> None:
        """Handles the result of a probe.

        Args:
            upstream: Name of the upstream.
            reading: Its load and health, None if the probe failed.
            started_s: Monotonic time at which the probe was sent.
        """
        now_s = self._sync_ownership()
        before = self._owner.health_of(upstream)
        self._owner.on_probe(upstream, reading, started_s, now_s)
        after = self._owner.health_of(upstream)
        if before and after and before.draining != after.draining:
            logging.info(
                "upstream %s %s",
                upstream,
                "is draining" if after.draining else "is no longer draining",
            )

    # Calls of the daemon.

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Applies a newer configuration."""
        now_s = self._sync_ownership()
        doc = stored.doc
        self._doc = doc
        self._services = {s.name: s for s in doc.services}
        self._specs = {u.name: u for u in doc.upstreams}
        self._drained = slot_owner.drained_upstreams(doc)
        self._drained_regions = frozenset(
            d.target for d in doc.drains if d.kind == "region"
        )
        pools: dict[slot_owner.PoolKey, list[str]] = {}
        for spec in doc.upstreams:
            key = (spec.service, spec.version, spec.region)
            if spec.name not in self._drained:
                pools.setdefault(key, []).append(spec.name)
        for names in pools.values():
            names.sort(key=slot_owner.rank)
        self._upstreams_by_pool = pools
        self._owner.configure(doc, now_s)
        self._grant_all(now_s)

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Updates the view of the fleet."""
        self._view = view
        self._sync_ownership()

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            self.tick()
            idle = self._owner.is_idle() and not self._pending_releases
            await asyncio.sleep(IDLE_TICK_S if idle else TICK_S)

    def tick(self) -> None:
        """Expires slots and queue entries, retries releases, grants slots."""
        now_s = self._sync_ownership()
        overdue, entries = self._owner.expire(now_s)
        for use in overdue:
            logging.warning(
                "slot of upstream %s not released in time by %s; reclaimed",
                use.upstream,
                use.borrower or "this VM",
            )
        for entry in entries:
            if isinstance(entry.item, slot_lender.LoanAsk):
                self._send(*self._lender.make_refusal(entry.item))
            else:
                entry.item.entry = None
                entry.item.wake()
        self._lender.expire_asks(now_s)
        self._retry_releases(now_s)
        self._grant_all(now_s)

    # Handlers of messages.

    def _on_ask(self, sender: str, msg: slot_ask.SlotAsk) -> None:
        now_s = self._sync_ownership()
        for name, reply in self._lender.on_ask(sender, msg, now_s):
            self._send(name, reply)

    def _on_cancel(self, sender: str, msg: slot_cancel.SlotCancel) -> None:
        now_s = self._sync_ownership()
        use = self._lender.on_cancel(sender, msg, now_s)
        if use is not None:
            self._grant(use.pool, now_s)

    def _on_release(self, sender: str, msg: slot_release.SlotRelease) -> None:
        now_s = self._sync_ownership()
        self._send(sender, slot_returned.SlotReturned(msg.loan_id))
        use = self._lender.on_release(sender, msg, now_s)
        if use is not None:
            self._grant(use.pool, now_s)

    def _on_returned(
        self, sender: str, msg: slot_returned.SlotReturned
    ) -> None:
        self._pending_releases.pop((sender, msg.loan_id), None)

    def _on_loan(self, sender: str, msg: slot_loan.SlotLoan) -> None:
        now_s = self._sync_ownership()
        arrival = self._borrower.on_loan(sender, msg, now_s)
        pending = arrival.ask
        if pending is None:
            if arrival.release_now:
                self._release_unused(sender, msg.loan_id, now_s)
            return
        waiter: slot_waiter.SlotWaiter = pending.item
        foreign = self._remove_ask(waiter, msg.ask_id)
        if foreign:
            self._next_shift_probe_s[sender, waiter.request.service] = now_s
        spec = self._specs.get(msg.upstream)
        refused = (
            arrival.release_now
            or spec is None
            or msg.upstream in self._drained
            or now_s >= waiter.request.deadline_s
            or (spec.region != self._me.region and not foreign)
        )
        if refused or waiter.slot is not None or waiter.shift_slot is not None:
            self._borrower.finish(sender, msg.loan_id)
            self._release_unused(sender, msg.loan_id, now_s)
            waiter.wake()
            return
        loaned = slot.Slot(
            spec.name,
            spec.url,
            spec.region,
            msg.loan_id,
            sender,
            arrival.start_by_s,
            arrival.end_s,
            msg.busy,
        )
        if spec.region == self._me.region:
            self._assign_slot(waiter, loaned)
        elif self._try_take_link_tokens(waiter.request, spec.region, now_s):
            self._assign_slot(waiter, loaned)
        else:
            waiter.shift_slot = loaned
            waiter.wake()

    def _on_refuse(self, sender: str, msg: slot_refuse.SlotRefuse) -> None:
        now_s = self._sync_ownership()
        pending = self._borrower.on_refuse(sender, msg.ask_id)
        if pending is None:
            return
        waiter: slot_waiter.SlotWaiter = pending.item
        if self._remove_ask(waiter, msg.ask_id):
            self._next_shift_probe_s[sender, waiter.request.service] = (
                now_s + SHIFT_PROBE_BACKOFF_S
            )
        else:
            self._record_taken(sender, waiter.request, True)
            waiter.tried.add(sender)
            waiter.next_local_ask_s = now_s
        waiter.wake()

    # Own slots.

    def _sync_ownership(self) -> float:
        """Detects pauses and applies ownership changes.

        Returns:
            The current time.
        """
        now_s = self._clock()
        if now_s - self._last_call_s > PAUSE_THRESHOLD_S:
            logging.warning(
                "paused for %.1f s; upstreams are acquired again after %.1f s",
                now_s - self._last_call_s,
                RESUME_HOLD_S,
            )
            self._hold_until_s = now_s + RESUME_HOLD_S
            self._owner.set_owned(frozenset(), now_s)
        self._last_call_s = now_s
        if now_s < self._hold_until_s:
            return now_s
        owned = self._ledger.owned()
        if owned is not self._owner.owned and owned != self._owner.owned:
            self._owner.set_owned(owned, now_s)
        return now_s

    def _local_pool(
        self, request: slot_request.SlotRequest
    ) -> slot_owner.PoolKey:
        return (request.service, request.version, self._me.region)

    def _acquire_owned(
        self, request: slot_request.SlotRequest, now_s: float
    ) -> slot.Slot | None:
        use = self._owner.acquire(
            (request.service, request.version, self._me.region),
            request.organisation,
            request.exclude,
            now_s,
        )
        return None if use is None else self._make_owned_slot(use)

    def _make_owned_slot(self, use) -> slot.Slot:
        spec = self._specs[use.upstream]
        return slot.Slot(
            spec.name,
            spec.url,
            spec.region,
            use.use_id,
            None,
            use.taken_s + slot_owner.LOAN_START_TIMEOUT_S,
            use.end_s,
            use.busy,
        )

    def _prefers_peers(self, request: slot_request.SlotRequest) -> bool:
        """Returns whether a small share goes to an upstream of a peer first."""
        svc = self._services.get(request.service)
        if svc is None or request.version == svc.version:
            return False
        if not self._owner.has_small_share(request.service, request.version):
            return False
        owners = self._rank_owners(request)
        return bool(owners) and owners[0] != self._me.vm_id

    def _record_request(
        self, request: slot_request.SlotRequest, waited_s: float, now_s: float
    ) -> None:
        key = self._local_pool(request)
        estimate = self._wait_estimates.get(key)
        if waited_s > 0.0 or estimate is not None:
            self._wait_estimates[key] = shift.after_wait(
                estimate or wait_estimate.WaitEstimate(), waited_s, now_s
            )
        if request.exclude:
            return
        budget = self._retry_budgets.get(
            request.service, retry_budget.RetryBudget()
        )
        self._retry_budgets[request.service] = retry_budget.after_request(
            budget
        )
        self._owner.count_request(request.service, request.version, now_s)

    def _grant_all(self, now_s: float) -> None:
        for key in self._owner.pool_keys():
            self._grant(key, now_s)

    def _grant(self, key: slot_owner.PoolKey, now_s: float) -> None:
        for entry, use in self._owner.grant(key, now_s):
            if isinstance(entry.item, slot_lender.LoanAsk):
                self._send(*self._lender.make_loan(entry.item, use, now_s))
                continue
            entry.item.entry = None
            self._assign_slot(entry.item, self._make_owned_slot(use))

    # Waiting requests.

    def _assign_slot(
        self, waiter: slot_waiter.SlotWaiter, acquired: slot.Slot
    ) -> None:
        waiter.slot = acquired
        self._cancel_pending(waiter)
        waiter.wake()

    def _enqueue(self, waiter: slot_waiter.SlotWaiter, now_s: float) -> bool:
        """Adds a waiter to this VM's queue; False if that is full."""
        request = waiter.request
        waiter.join_queue_s = math.inf
        waiter.entry = self._owner.enqueue(
            self._local_pool(request),
            request.organisation,
            waiter,
            request.deadline_s,
            request.exclude,
            now_s,
        )
        return waiter.entry is not None

    def _cancel_pending(self, waiter: slot_waiter.SlotWaiter) -> None:
        """Removes a waiter from the queue and cancels its loan requests."""
        if waiter.entry is not None:
            self._owner.remove(self._local_pool(waiter.request), waiter.entry)
            waiter.entry = None
        asks = dict(waiter.local_asks)
        waiter.local_asks.clear()
        if waiter.shift_ask:
            asks[waiter.shift_ask] = ""
            waiter.shift_ask = 0
        for ask_id in asks:
            pending = self._borrower.cancel(ask_id)
            if pending is not None:
                self._send(pending.owner, slot_cancel.SlotCancel(ask_id))
        if waiter.shift_slot is not None:
            loaned, waiter.shift_slot = waiter.shift_slot, None
            if loaned is not waiter.slot:
                self.release(loaned, slot_outcome.SlotOutcome.NEUTRAL)

    def _remove_ask(self, waiter: slot_waiter.SlotWaiter, ask_id: int) -> bool:
        """Removes an answered loan request; True if it was for a shift."""
        if waiter.shift_ask == ask_id:
            waiter.shift_ask = 0
            return True
        waiter.local_asks.pop(ask_id, None)
        return False

    def _advance_waiter(
        self, waiter: slot_waiter.SlotWaiter, now_s: float
    ) -> float:
        """Queues a waiter and sends its loan requests when they are due.

        Returns:
            Monotonic time at which to call again.
        """
        if now_s >= waiter.join_queue_s:
            self._enqueue(waiter, now_s)
            self._grant(self._local_pool(waiter.request), now_s)
            if waiter.slot is not None:
                return now_s
        wake_s = min(now_s + RECHECK_INTERVAL_S, waiter.join_queue_s)
        has_small_share = self._owner.has_small_share(
            waiter.request.service, waiter.request.version
        )
        for ask_id, name in list(waiter.local_asks.items()):
            if name not in self._view.live:
                del waiter.local_asks[ask_id]
                self._borrower.cancel(ask_id)
        owners = [
            o for o in self._rank_owners(waiter.request) if o != self._me.vm_id
        ]
        candidates = [
            name
            for name in owners
            if name not in waiter.tried
            and name not in waiter.local_asks.values()
        ]
        if candidates and len(waiter.local_asks) < MAX_LOCAL_ASKS:
            if now_s >= waiter.next_local_ask_s:
                if (
                    has_small_share
                    or self._estimate_free(candidates[0], waiter.request) > 0
                ):
                    self._ask_local_owner(waiter, candidates[0], now_s)
                else:
                    capacity = MAX_LOCAL_ASKS - len(waiter.local_asks)
                    for name in candidates[:capacity]:
                        self._ask_local_owner(waiter, name, now_s)
                waiter.next_local_ask_s = now_s + ASK_INTERVAL_S
            wake_s = min(wake_s, waiter.next_local_ask_s)
        elif not candidates and not waiter.local_asks and waiter.tried:
            # All refused; retry later, when their queues may have capacity.
            waiter.tried.clear()
            waiter.next_local_ask_s = now_s + RECHECK_INTERVAL_S
        return min(wake_s, self._advance_shift(waiter, owners, now_s))

    def _ask_local_owner(
        self, waiter: slot_waiter.SlotWaiter, name: str, now_s: float
    ) -> None:
        request = waiter.request
        ask_id = self._borrower.record_ask(name, waiter, now_s)
        wait_ms = (request.deadline_s - now_s) * 1000.0
        if not self._send(name, self._make_ask(request, ask_id, wait_ms, "")):
            self._borrower.cancel(ask_id)
            waiter.tried.add(name)
            return
        waiter.local_asks[ask_id] = name
        self._record_taken(name, request, False)

    def _make_ask(
        self,
        request: slot_request.SlotRequest,
        ask_id: int,
        wait_ms: float,
        target: str,
    ) -> slot_ask.SlotAsk:
        return slot_ask.SlotAsk(
            ask_id,
            request.service,
            request.version,
            self._me.region,
            request.organisation,
            wait_ms,
            request.exclude,
            target,
        )

    def _rank_owners(self, request: slot_request.SlotRequest) -> list[str]:
        """Returns the region's owners for a request, in order of preference."""
        names = self._upstreams_by_pool.get(self._local_pool(request), ())
        live_owners: dict[str, None] = {}
        for name in names:
            owner = self._ledger.owner_of(name)
            if owner == self._me.vm_id or owner in self._view.live:
                live_owners[owner] = None
        owners = list(live_owners) or self._advertising_vms(request)
        if self._owner.has_small_share(request.service, request.version):
            return owners
        # Rotation spreads requests over owners with equally many free slots.
        self._rotation += 1
        offset = self._rotation % len(owners) if owners else 0
        owners = owners[offset:] + owners[:offset]
        owners.sort(key=lambda name: -self._estimate_free(name, request))
        return owners

    def _advertising_vms(self, request: slot_request.SlotRequest) -> list[str]:
        """Returns the region's VMs whose heartbeats report slots for a request.

        A VM that started during a store outage has not read the ledger and so
        knows no owners. A VM that owns no matching upstream refuses.
        """
        svc = self._services.get(request.service)
        if svc is None:
            return []
        pool = slot_owner.pool_name(svc, request.version)
        return [
            name
            for name, peer in self._view.live.items()
            if peer.heartbeat.region == self._me.region
            and pool in peer.heartbeat.free_slots
        ]

    def _estimate_free(
        self, name: str, request: slot_request.SlotRequest
    ) -> int:
        member = self._view.live.get(name)
        svc = self._services.get(request.service)
        if member is None or svc is None:
            return 0
        pool = slot_owner.pool_name(svc, request.version)
        free = member.heartbeat.free_slots.get(pool, 0)
        sequence, taken = self._taken_slots.get((name, pool), (0, 0))
        if sequence != member.heartbeat.sequence:
            return free
        return max(free - taken, 0)

    def _record_taken(
        self, name: str, request: slot_request.SlotRequest, is_exhausted: bool
    ) -> None:
        member = self._view.live.get(name)
        svc = self._services.get(request.service)
        if member is None or svc is None:
            return
        pool = slot_owner.pool_name(svc, request.version)
        sequence, taken = self._taken_slots.get((name, pool), (0, 0))
        if sequence != member.heartbeat.sequence:
            taken = 0
        free = member.heartbeat.free_slots.get(pool, 0)
        taken = free if is_exhausted else taken + 1
        self._taken_slots[(name, pool)] = (member.heartbeat.sequence, taken)

    # Shifts to other regions.

    def _advance_shift(
        self, waiter: slot_waiter.SlotWaiter, owners: list[str], now_s: float
    ) -> float:
        if waiter.shift_ask:
            return math.inf
        request = waiter.request
        svc = self._services.get(request.service)
        if svc is None:
            return math.inf
        key = self._local_pool(request)
        usable = bool(owners) or self._owner.has_usable_upstream(key)
        expected_s = shift.expected_wait_s(
            self._wait_estimates.get(key, wait_estimate.WaitEstimate()),
            usable,
            now_s,
        )
        waited_s = now_s - waiter.started_s
        after_s = svc.shift_after_ms / 1000.0
        if not shift.should_shift(expected_s, waited_s, after_s):
            return waiter.started_s + after_s + 0.001
        if any(self._estimate_free(name, request) > 0 for name in owners):
            # The region may have a free slot, which is preferred.
            return now_s + ASK_INTERVAL_S
        if now_s < waiter.next_shift_s:
            return waiter.next_shift_s
        waiter.next_shift_s = now_s + SHIFT_RETRY_INTERVAL_S
        self._start_shift(waiter, now_s)
        return waiter.next_shift_s

    def _start_shift(
        self, waiter: slot_waiter.SlotWaiter, now_s: float
    ) -> None:
        request = waiter.request
        reserve = self._services[request.service].reserve_slots
        owners: dict[str, dict[str, int]] = {}
        free: dict[str, int] = {}
        for (name, version, region), names in self._upstreams_by_pool.items():
            if (name, version) != (request.service, request.version):
                continue
            region_owners = owners.setdefault(region, {})
            for upstream in names:
                owner = self._ledger.owner_of(upstream)
                if owner == self._me.vm_id:
                    region_owners[owner] = reserve + 1
                elif owner in self._view.live:
                    region_owners[owner] = self._estimate_shift_slots(
                        owner, request, reserve, now_s
                    )
            free[region] = sum(
                max(f - reserve, 0) for f in region_owners.values()
            )
        for region in shift.target_regions(
            self._me.region, self._doc.link_caps, free, self._drained_regions
        ):
            cap = self._link_cap(region)
            share = 1.0 / (1 + self._count_live_peers())
            ramp = self._shift_ramps.get(region, shift_ramp.ShiftRamp())
            ramp, allowed = shift.may_start(ramp, cap * share, now_s)
            self._shift_ramps[region] = ramp
            if not allowed:
                continue
            owner = max(owners[region], key=lambda n: owners[region][n])
            if owner == self._me.vm_id:
                self._shift_to_owned(waiter, region, now_s)
                return
            ask_id = self._borrower.record_ask(owner, waiter, now_s)
            msg = self._make_ask(request, ask_id, 0.0, region)
            if self._send(owner, msg):
                waiter.shift_ask = ask_id
                self._record_taken(owner, request, False)
                self._next_shift_probe_s[owner, request.service] = (
                    now_s + SHIFT_PROBE_BACKOFF_S
                )
                return
            self._borrower.cancel(ask_id)

    def _count_live_peers(self) -> int:
        """Returns the number of other live VMs in this region.

        Only VMs of this region use its links, so the ramp, which is not a hard
        limit, is divided among them. Divided by ledger units, most of it would
        go to VMs that never shift.
        """
        return sum(
            1
            for peer in self._view.live.values()
            if peer.heartbeat.region == self._me.region
        )

    def _estimate_shift_slots(
        self,
        owner: str,
        request: slot_request.SlotRequest,
        reserve: int,
        now_s: float,
    ) -> int:
        """Estimates the free slots of an owner in another region."""
        free = self._estimate_free(owner, request)
        if now_s >= self._next_shift_probe_s.get(
            (owner, request.service), -math.inf
        ):
            return max(free, reserve + 1)
        return free

    def _shift_to_owned(
        self, waiter: slot_waiter.SlotWaiter, region: str, now_s: float
    ) -> None:
        request = waiter.request
        use = self._owner.acquire(
            (request.service, request.version, region),
            request.organisation,
            request.exclude,
            now_s,
            foreign=True,
        )
        if use is None:
            return
        acquired = self._make_owned_slot(use)
        if self._try_take_link_tokens(request, region, now_s):
            self._assign_slot(waiter, acquired)
        else:
            waiter.shift_slot = acquired
            waiter.wake()

    def _link_cap(self, region: str) -> float:
        for cap in self._doc.link_caps:
            if (cap.source, cap.target) == (self._me.region, region):
                return cap.requests_per_s
        return 0.0

    def _link_limit_name(self, region: str, unit: str) -> str:
        return f"link:{self._me.region}:{region}:{unit}"

    def _try_take_link_tokens(
        self, request: slot_request.SlotRequest, region: str, now_s: float
    ) -> bool:
        """Takes the link's tokens when the request may start.

        If tokens were taken before the loan is requested, they would accumulate
        while loans are delayed, and the link would exceed its cap.
        """
        if not self._limits.try_take(
            self._link_limit_name(region, "requests"), 1.0
        ):
            return False
        if not self._limits.try_take(
            self._link_limit_name(region, "bits"),
            shift.request_bits(request.body_bytes),
        ):
            return False
        self._record_shift(region, now_s)
        return True

    async def _wait_for_link_tokens(
        self, waiter: slot_waiter.SlotWaiter
    ) -> None:
        """Waits for the link's tokens for a loan that has arrived."""
        loaned = waiter.shift_slot
        request = waiter.request
        deadline_s = min(
            self._clock() + LINK_TOKEN_TIMEOUT_S, request.deadline_s
        )
        admitted = await self._limits.take(
            self._link_limit_name(loaned.region, "requests"), 1.0, deadline_s
        ) and await self._limits.take(
            self._link_limit_name(loaned.region, "bits"),
            shift.request_bits(request.body_bytes),
            deadline_s,
        )
        now_s = self._sync_ownership()
        if waiter.slot is not None or waiter.shift_slot is not loaned:
            return
        waiter.shift_slot = None
        if admitted and now_s < min(request.deadline_s, loaned.start_by_s):
            self._record_shift(loaned.region, now_s)
            self._assign_slot(waiter, loaned)
            return
        self.release(loaned, slot_outcome.SlotOutcome.NEUTRAL)
        waiter.next_shift_s = now_s + SHIFT_RETRY_INTERVAL_S

    def _record_shift(self, region: str, now_s: float) -> None:
        ramp = self._shift_ramps.get(region, shift_ramp.ShiftRamp())
        self._shift_ramps[region] = shift.after_start(ramp, now_s)

    # Messages.

    def _send(self, name: str, msg) -> bool:
        return self._link.send(name, msg)

    def _send_release(
        self,
        owner: str,
        loan_id: int,
        outcome: slot_outcome.SlotOutcome,
        reclaim_s: float,
    ) -> None:
        msg = slot_release.SlotRelease(
            loan_id,
            outcome is slot_outcome.SlotOutcome.FAILED,
            outcome is not slot_outcome.SlotOutcome.NEUTRAL,
        )
        sent = self._send(owner, msg)
        next_send_s = self._clock() + (RELEASE_RETRY_S if sent else 0.0)
        self._pending_releases[owner, loan_id] = pending_release.PendingRelease(
            msg, next_send_s, reclaim_s
        )

    def _retry_releases(self, now_s: float) -> None:
        for (owner, loan_id), pending in list(self._pending_releases.items()):
            if now_s >= pending.reclaim_s:
                del self._pending_releases[owner, loan_id]
            elif now_s >= pending.next_send_s and self._send(
                owner, pending.msg
            ):
                self._pending_releases[owner, loan_id] = dataclasses.replace(
                    pending, next_send_s=now_s + RELEASE_RETRY_S
                )

    def _release_unused(self, owner: str, loan_id: int, now_s: float) -> None:
        self._send_release(
            owner, loan_id, slot_outcome.SlotOutcome.NEUTRAL, now_s + 30.0
        )

    def _make_refusal(
        self, request: slot_request.SlotRequest, reason: str
    ) -> result.Err[slot_refusal.SlotRefusal]:
        return result.Err(
            slot_refusal.SlotRefusal("slot.acquire", request.service, reason)
        )

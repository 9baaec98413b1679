"""Exact count of the slots in use at the upstreams that a VM owns."""

import dataclasses
import hashlib
import math
from collections.abc import Iterable
from typing import Any

from bramleyworks.document import document
from bramleyworks.document import service as service_lib
from bramleyworks.document import upstream as upstream_lib
from bramleyworks.policy import fair_queue
from bramleyworks.policy import outlier_detection
from bramleyworks.policy import probe_result
from bramleyworks.policy import queue_entry
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import slot_use
from bramleyworks.policy import upstream_health

# Fraction of its slots in use above which an upstream counts as busy.
BUSY_FRACTION = 0.7
# A granted slot must be used within this time. A loan that starts later, after
# a new owner has used its first load reading, is in no count: seed 1094 of the
# differential test overloaded an upstream this way.
LOAN_START_TIMEOUT_S = 1.0
# A borrower cancels at the deadline of the loan by its own clock. The owner
# waits this long for the cancellation to reach the upstream.
RECLAIM_DELAY_S = 1.0
# A load reading may describe the load up to this long before the probe.
MAX_READING_LAG_S = 3.0
# An upstream that was added to the document within this time before its owner
# took it over starts cold.
NEW_UPSTREAM_S = 60.0
# Interval for updating a limit that changes with time.
LIMIT_REFRESH_S = 0.05
# Overdue uses are rare, so they are searched for only at this interval.
OVERDUE_CHECK_INTERVAL_S = 0.25
# The requests of a version with less than this share of the requests of its
# service go to as few upstreams as possible.
SMALL_SHARE = 0.1
SHARE_HALF_LIFE_S = 10.0
# With fewer recent requests the share is not known yet, and the share of a
# version other than the service's own counts as small.
MIN_SHARE_REQUESTS = 30.0

PoolKey = tuple[str, str, str]


class _Upstream:
    """Slot count, limit and health of one upstream."""

    __slots__ = (
        "has_changed_reading",
        "is_unavailable",
        "cold_since_s",
        "drained",
        "is_removed",
        "health",
        "last_busy",
        "limit",
        "limit_until_s",
        "name",
        "added_s",
        "owned",
        "pool",
        "observed_free",
        "spec",
        "trial_use_id",
        "used",
        "takeover_wait_until_s",
        "has_wrong_reading",
    )

    def __init__(self, spec: upstream_lib.Upstream):
        self.name = spec.name
        self.spec = spec
        self.owned = False
        self.drained = False
        self.is_removed = False
        self.is_unavailable = True
        self.used = 0
        self.limit = 0
        self.limit_until_s = -math.inf
        self.health = upstream_health.UpstreamHealth()
        self.trial_use_id = 0
        self.takeover_wait_until_s = -math.inf
        self.observed_free = 0
        self.has_wrong_reading = False
        self.last_busy = -1
        self.has_changed_reading = False
        self.added_s = -math.inf
        self.cold_since_s = -math.inf
        self.pool: _Pool | None = None


class _Pool:
    """Upstreams that can run the same requests, and the requests waiting."""

    __slots__ = ("key", "queue", "service", "upstreams")

    def __init__(self, key: PoolKey, service: service_lib.Service, weights):
        self.key = key
        self.service = service
        self.upstreams: list[_Upstream] = []
        self.queue = fair_queue.FairQueue(service.queue_limit, weights)


@dataclasses.dataclass(frozen=True)
class _VersionShare:
    """Decayed request counts of a service and of one of its versions."""

    service_requests: float
    version_requests: float
    at_s: float


class SlotOwner:
    """Counts the slots in use by all VMs at each upstream this VM owns.

    The class is mutable because copying the counts of all upstreams for each
    request would cost more than the decision. Methods take the monotonic time.

    The id of a use is unique over all incarnations, so a late or duplicate
    release has no effect. Uses outlive ownership: when an upstream is lost and
    acquired again, requests that are still in flight count.
    """

    def __init__(self, incarnation: str, region: str):
        self._region = region
        self._upstreams: dict[str, _Upstream] = {}
        self._pools: dict[PoolKey, _Pool] = {}
        self._services: dict[str, service_lib.Service] = {}
        self._weights: dict[str, float] = {}
        self._max_request_s: dict[str, float] = {}
        self._owned: frozenset[str] = frozenset()
        self._uses: dict[int, slot_use.SlotUse] = {}
        self._shares: dict[tuple[str, str], _VersionShare] = {}
        self._versions: dict[str, list[tuple[str, str]]] = {}
        self._next_id = id_base(incarnation)
        self._configured = False
        self._next_overdue_check_s = -math.inf

    # Configuration and ownership.

    def configure(self, doc: document.Document, now_s: float) -> None:
        """Applies a document."""
        self._services = {s.name: s for s in doc.services}
        for svc in doc.services:
            # Loans under an earlier, longer limit may still be in use.
            self._max_request_s[svc.name] = max(
                svc.max_request_s, self._max_request_s.get(svc.name, 0.0)
            )
        # Organisations pay for rates, so slots are shared in proportion to
        # the rates. With equal weights the largest organisation always
        # waited longest.
        self._weights = {
            o.name: o.weight * o.rate_per_s for o in doc.organisations
        }
        drained = drained_upstreams(doc)
        specs = {
            u.name: u for u in doc.upstreams if u.service in self._services
        }
        for name, upstream in list(self._upstreams.items()):
            if name not in specs:
                upstream.is_removed = True
                if not upstream.used:
                    del self._upstreams[name]
        for name, spec in specs.items():
            upstream = self._upstreams.get(name)
            if upstream is None:
                upstream = self._upstreams[name] = _Upstream(spec)
                if self._configured:
                    upstream.added_s = now_s
            elif upstream.is_removed or (
                upstream.spec.url,
                upstream.spec.version,
            ) != (
                spec.url,
                spec.version,
            ):
                upstream.added_s = upstream.cold_since_s = now_s
                upstream.health = upstream_health.UpstreamHealth()
            elif upstream.drained and name not in drained:
                upstream.cold_since_s = now_s
            upstream.spec = spec
            upstream.is_removed = False
            upstream.drained = name in drained
        self._configured = True
        self._track_versions(now_s)
        self._build_pools()
        self.set_owned(self._owned, now_s)

    def set_owned(self, names: frozenset[str], now_s: float) -> None:
        """Sets the upstreams that the ledger assigns to this VM."""
        self._owned = names
        for name, upstream in self._upstreams.items():
            if name in names and not upstream.owned:
                self._take_over(upstream, now_s)
            elif upstream.owned and name not in names:
                upstream.owned = False
            self._update_limit(upstream, now_s)
        self._limit_probe_exclusions(now_s)

    @property
    def owned(self) -> frozenset[str]:
        """Names assigned by the ledger, whether in the document or not."""
        return self._owned

    # Requests.

    def acquire(
        self,
        key: PoolKey,
        organisation: str,
        exclude: tuple[str, ...],
        now_s: float,
        borrower: str = "",
        foreign: bool = False,
    ) -> slot_use.SlotUse | None:
        """Takes a slot if one is free.

        Args:
            key: Service, version and region of the upstream.
            organisation: Organisation of the request.
            exclude: Names of upstreams not to use.
            now_s: Monotonic time in seconds.
            borrower: VM that borrows the slot, empty for this VM.
            foreign: Whether the request comes from another region. It then
                leaves the service's ``reserve_slots`` free.

        Returns:
            The use of the slot, None if no slot is free.
        """
        pool = self._pools.get(key)
        if pool is None or pool.queue:
            return None
        best = None
        best_free = 0
        total = 0
        small_share = self._has_small_share(pool, now_s)
        for upstream in pool.upstreams:
            if upstream.is_unavailable:
                continue
            if now_s >= upstream.limit_until_s:
                self._update_limit(upstream, now_s)
            state = upstream.health
            if state.excluded:
                if (
                    not foreign
                    and upstream.name not in exclude
                    and self._trial_due(upstream, now_s)
                ):
                    return self._record_use(
                        upstream, pool, organisation, borrower, now_s, True
                    )
                continue
            free = upstream.limit - upstream.used
            if free <= 0:
                continue
            total += free
            if upstream.name in exclude:
                continue
            if small_share:
                free = 1
            elif (
                state.probe_failures
                >= outlier_detection.MAX_CONSECUTIVE_FAILURES
            ):
                free = 0.5
            if free > best_free:
                best = upstream
                best_free = free
        if best is None:
            return None
        if foreign and total <= pool.service.reserve_slots:
            return None
        return self._record_use(
            best, pool, organisation, borrower, now_s, False
        )

    def enqueue(
        self,
        key: PoolKey,
        organisation: str,
        item: Any,
        deadline_s: float,
        exclude: tuple[str, ...],
        now_s: float,
    ) -> queue_entry.QueueEntry | None:
        """Queues a request of this region; None if the queue is full."""
        pool = self._get_pool(key)
        if pool is None:
            return None
        return pool.queue.push(organisation, item, deadline_s, exclude, now_s)

    def remove(self, key: PoolKey, entry: queue_entry.QueueEntry) -> bool:
        """Removes an entry from its queue; False if it is not queued."""
        pool = self._pools.get(key)
        return pool is not None and pool.queue.remove(entry)

    def release(
        self, use_id: int, outcome: slot_outcome.SlotOutcome, now_s: float
    ) -> slot_use.SlotUse | None:
        """Frees a slot; returns None if the use has already ended."""
        use = self._uses.pop(use_id, None)
        if use is None:
            return None
        pool = self._pools.get(use.pool)
        if pool is not None:
            pool.queue.record_end(use.organisation)
        upstream = self._upstreams.get(use.upstream)
        if upstream is None:
            return use
        upstream.used -= 1
        if upstream.trial_use_id == use_id:
            upstream.trial_use_id = 0
        state = outlier_detection.after_result(
            upstream.health, outcome, use.trial, now_s
        )
        if state is not upstream.health:
            upstream.health = state
            upstream.limit_until_s = -math.inf
        if upstream.is_removed and not upstream.used:
            del self._upstreams[upstream.name]
        return use

    def grant(
        self, key: PoolKey, now_s: float
    ) -> list[tuple[queue_entry.QueueEntry, slot_use.SlotUse]]:
        """Grants free slots to the queue of one pool in fair order."""
        pool = self._pools.get(key)
        if pool is None or not pool.queue:
            return []
        granted = []
        while pool.queue:
            chosen = None
            small_share = self._has_small_share(pool, now_s)
            available = self._available_upstreams(pool, now_s, small_share)
            if not available:
                break
            entry = None
            for upstream in available:
                name = upstream.name
                entry = pool.queue.pop(
                    now_s, lambda e, name=name: name not in e.exclude
                )
                if entry is not None:
                    chosen = upstream
                    break
            if entry is None:
                break
            use = self._record_use(
                chosen,
                pool,
                entry.organisation,
                getattr(entry.item, "borrower", ""),
                now_s,
                chosen.health.excluded,
            )
            granted.append((entry, use))
        return granted

    def is_idle(self) -> bool:
        """Returns whether no slot is in use and no request waits."""
        return not self._uses and not any(
            pool.queue for pool in self._pools.values()
        )

    def expire(
        self, now_s: float
    ) -> tuple[list[slot_use.SlotUse], list[queue_entry.QueueEntry]]:
        """Frees overdue slots and removes overdue queue entries."""
        overdue = []
        if now_s >= self._next_overdue_check_s:
            self._next_overdue_check_s = now_s + OVERDUE_CHECK_INTERVAL_S
            overdue = [
                use
                for use in self._uses.values()
                if now_s >= use.end_s + RECLAIM_DELAY_S
            ]
        for use in overdue:
            self.release(use.use_id, slot_outcome.SlotOutcome.NEUTRAL, now_s)
        entries = []
        for pool in self._pools.values():
            entries.extend(pool.queue.expire(now_s))
        return overdue, entries

    # Measurements.

    def on_probe(
        self,
        name: str,
        reading: probe_result.ProbeResult | None,
        started_s: float,
        now_s: float,
    ) -> None:
        """Handles the result of a probe.

        Args:
            name: Name of the probed upstream.
            reading: The response, None if the probe failed.
            started_s: Monotonic time at which the probe was sent.
            now_s: Monotonic time in seconds.
        """
        upstream = self._upstreams.get(name)
        if upstream is None or not upstream.owned:
            return
        if reading is not None and reading.version != upstream.spec.version:
            reading = None
        upstream.health = outlier_detection.after_probe(
            upstream.health, reading, now_s
        )
        if reading is not None and now_s < upstream.takeover_wait_until_s:
            self._apply_reading(upstream, reading, started_s)
        self._update_limit(upstream, now_s)
        if reading is None or upstream.health.excluded:
            self._limit_probe_exclusions(now_s)

    # Reports.

    def free_slots(self, now_s: float) -> dict[str, int]:
        """Returns the free slots of this region by service.

        Versions other than the service's own are named ``SERVICE/VERSION``.
        """
        free: dict[str, int] = {}
        for (_, version, region), pool in self._pools.items():
            if region != self._region or not pool.upstreams:
                continue
            count = sum(
                max(upstream.limit - upstream.used, 0)
                for upstream in self._available_upstreams(pool, now_s, False)
                if not upstream.health.excluded
            )
            free[pool_name(pool.service, version)] = count
        return free

    def has_usable_upstream(self, key: PoolKey) -> bool:
        """Returns whether an owned upstream of the pool accepts requests."""
        pool = self._pools.get(key)
        return pool is not None and any(
            not u.is_unavailable for u in pool.upstreams
        )

    def queue_length(self, key: PoolKey) -> int:
        """Returns the number of requests waiting in a pool."""
        pool = self._pools.get(key)
        return len(pool.queue) if pool is not None else 0

    def pool_keys(self) -> Iterable[PoolKey]:
        """Returns the keys of all pools with upstreams or waiting requests."""
        return tuple(self._pools)

    def used(self, name: str) -> int:
        """Returns the number of slots in use at an upstream."""
        upstream = self._upstreams.get(name)
        return upstream.used if upstream else 0

    def health_of(self, name: str) -> upstream_health.UpstreamHealth | None:
        """Returns the health of an upstream, None if it is not owned."""
        upstream = self._upstreams.get(name)
        return upstream.health if upstream and upstream.owned else None

    def count_request(self, name: str, version: str, now_s: float) -> None:
        """Counts a request of a version, to estimate the version's share."""
        for key in self._versions.get(name, ()):
            share = self._shares[key]
            decay = 0.5 ** ((now_s - share.at_s) / SHARE_HALF_LIFE_S)
            self._shares[key] = _VersionShare(
                share.service_requests * decay + 1.0,
                share.version_requests * decay
                + (1.0 if key[1] == version else 0.0),
                now_s,
            )

    def has_small_share(self, name: str, version: str) -> bool:
        """Returns whether a version gets a small share of the requests."""
        svc = self._services.get(name)
        if svc is None or svc.version == version:
            return False
        share = self._shares.get((name, version))
        return (
            share is None
            or share.service_requests < MIN_SHARE_REQUESTS
            or share.version_requests < SMALL_SHARE * share.service_requests
        )

    # Internal.

    def _track_versions(self, now_s: float) -> None:
        """Tracks the shares of versions other than the service's own."""
        shares = {}
        self._versions = {}
        for spec in (u.spec for u in self._upstreams.values()):
            key = (spec.service, spec.version)
            svc = self._services.get(spec.service)
            if svc is None or spec.version == svc.version or key in shares:
                continue
            shares[key] = self._shares.get(key, _VersionShare(0.0, 0.0, now_s))
            self._versions.setdefault(spec.service, []).append(key)
        self._shares = shares

    def _build_pools(self) -> None:
        pools: dict[PoolKey, _Pool] = {}
        for upstream in self._upstreams.values():
            if upstream.is_removed:
                upstream.pool = None
                continue
            spec = upstream.spec
            key = (spec.service, spec.version, spec.region)
            pool = pools.get(key)
            if pool is None:
                pool = pools[key] = self._make_pool(key)
            upstream.pool = pool
        # Requests in pools whose last upstream was removed keep waiting until
        # their deadline, since they may be shifted to another region.
        for key, pool in self._pools.items():
            if key not in pools and pool.queue and key[0] in self._services:
                pool.upstreams = []
                pools[key] = pool
        self._pools = pools

    def _get_pool(self, key: PoolKey) -> _Pool | None:
        pool = self._pools.get(key)
        if pool is None and key[0] in self._services:
            pool = self._pools[key] = self._make_pool(key)
        return pool

    def _make_pool(self, key: PoolKey) -> _Pool:
        service = self._services[key[0]]
        pool = self._pools.get(key)
        if pool is None:
            return _Pool(key, service, self._weights)
        pool.service = service
        pool.upstreams = []
        pool.queue.configure(service.queue_limit, self._weights)
        return pool

    def _take_over(self, upstream: _Upstream, now_s: float) -> None:
        upstream.owned = True
        upstream.health = upstream_health.UpstreamHealth()
        wait_s = (
            self._max_request_s.get(upstream.spec.service, 0.0)
            + RECLAIM_DELAY_S
        )
        upstream.takeover_wait_until_s = now_s + wait_s
        upstream.observed_free = 0
        upstream.has_wrong_reading = False
        upstream.last_busy = -1
        upstream.has_changed_reading = False
        if now_s - upstream.added_s < NEW_UPSTREAM_S:
            upstream.cold_since_s = now_s

    def _apply_reading(
        self,
        upstream: _Upstream,
        reading: probe_result.ProbeResult,
        started_s: float,
    ) -> None:
        # The previous owner starts no more requests, so the number of its
        # requests only falls. The highest number of free slots in any reading
        # since the takeover is therefore safe to use.
        wait_s = (
            self._max_request_s.get(upstream.spec.service, 0.0)
            + RECLAIM_DELAY_S
        )
        takeover_s = upstream.takeover_wait_until_s - wait_s
        # Earlier readings may miss the last requests granted by the previous
        # owner.
        if started_s < takeover_s + LOAN_START_TIMEOUT_S + MAX_READING_LAG_S:
            return
        expected_busy = sum(
            use.upstream == upstream.name
            and use.taken_s < started_s - MAX_READING_LAG_S
            for use in self._uses.values()
        )
        if reading.busy < expected_busy:
            # The reading misses requests that certainly run, so it is frozen
            # or wrong, and no slot is used until the wait is over.
            upstream.has_wrong_reading = True
        if upstream.last_busy >= 0 and reading.busy != upstream.last_busy:
            upstream.has_changed_reading = True
        upstream.last_busy = max(reading.busy, 0)
        upstream.observed_free = max(
            upstream.observed_free,
            upstream.spec.slots - max(reading.busy, 0),
        )

    def _update_limit(self, upstream: _Upstream, now_s: float) -> None:
        """Computes the limit and the time until which it is valid."""
        pool = upstream.pool
        was_listed = pool is not None and upstream in pool.upstreams
        if pool is not None and upstream.owned != was_listed:
            if upstream.owned:
                pool.upstreams.append(upstream)
                pool.upstreams.sort(key=_rank)
            else:
                pool.upstreams.remove(upstream)
        upstream.is_unavailable = (
            not upstream.owned
            or upstream.drained
            or pool is None
            or upstream.health.draining
        )
        upstream.limit_until_s = math.inf
        if upstream.is_unavailable:
            upstream.limit = 0
            return
        limit = upstream.spec.slots
        warmup_s = pool.service.warmup_s
        warmup_start_s = max(
            upstream.cold_since_s, upstream.health.readmitted_s
        )
        if now_s < warmup_start_s + warmup_s:
            warm_slots = (limit - 1) * (now_s - warmup_start_s) / warmup_s
            limit = 1 + int(warm_slots)
            upstream.limit_until_s = now_s + LIMIT_REFRESH_S
        if now_s < upstream.takeover_wait_until_s:
            observed = (
                0 if upstream.has_wrong_reading else upstream.observed_free
            )
            if not upstream.has_changed_reading:
                # The endpoint may be frozen. One request at a time changes the
                # reading of a live one and bounds the overload of a frozen one.
                observed = min(observed, 1)
            limit = min(limit, observed)
            upstream.limit_until_s = now_s + LIMIT_REFRESH_S
        upstream.limit = limit

    def _available_upstreams(
        self, pool: _Pool, now_s: float, small_share: bool
    ) -> list[_Upstream]:
        """Returns the upstreams with a free slot, in order of preference."""
        available = []
        for upstream in pool.upstreams:
            if upstream.is_unavailable:
                continue
            if now_s >= upstream.limit_until_s:
                self._update_limit(upstream, now_s)
            if upstream.health.excluded:
                if self._trial_due(upstream, now_s):
                    available.append(upstream)
            elif upstream.used < upstream.limit:
                available.append(upstream)
        if not small_share and len(available) > 1:
            available.sort(
                key=lambda u: (
                    not u.health.excluded,
                    outlier_detection.is_suspect(u.health),
                    u.used - u.limit,
                )
            )
        return available

    def _trial_due(self, upstream: _Upstream, now_s: float) -> bool:
        return (
            not upstream.trial_use_id
            and now_s >= upstream.health.next_half_open_s
            and upstream.used < upstream.limit
        )

    def _record_use(
        self,
        upstream: _Upstream,
        pool: _Pool,
        organisation: str,
        borrower: str,
        now_s: float,
        trial: bool,
    ) -> slot_use.SlotUse:
        self._next_id += 1
        use = slot_use.SlotUse(
            self._next_id,
            upstream.name,
            pool.key,
            organisation,
            borrower,
            now_s,
            now_s + pool.service.max_request_s,
            trial,
            upstream.used + 1 > BUSY_FRACTION * upstream.spec.slots,
        )
        self._uses[use.use_id] = use
        upstream.used += 1
        if trial:
            upstream.trial_use_id = use.use_id
        pool.queue.record_start(organisation, now_s)
        return use

    def _has_small_share(self, pool: _Pool, now_s: float) -> bool:
        if pool.key[1] == pool.service.version:
            return False
        return self.has_small_share(pool.key[0], pool.key[1])

    def _limit_probe_exclusions(self, now_s: float) -> None:
        groups: dict[str, dict[str, upstream_health.UpstreamHealth]] = {}
        for name, upstream in self._upstreams.items():
            if upstream.owned:
                groups.setdefault(upstream.spec.service, {})[name] = (
                    upstream.health
                )
        for states in groups.values():
            for name, state in outlier_detection.apply_probe_exclusions(
                states, now_s
            ).items():
                self._upstreams[name].health = state
                self._update_limit(self._upstreams[name], now_s)


def id_base(incarnation: str) -> int:
    """Returns the base of the ids of an incarnation, below 2**63."""
    digest = hashlib.sha256(incarnation.encode()).digest()
    return (int.from_bytes(digest[:4]) >> 1) << 32


def pool_name(service: service_lib.Service, version: str) -> str:
    """Returns the key of a version in the reports of free slots."""
    if version == service.version:
        return service.name
    return f"{service.name}/{version}"


def rank(name: str) -> bytes:
    """Returns the sort key by which a small share fills upstreams.

    All VMs compute the same order.
    """
    return hashlib.sha256(name.encode()).digest()


def _rank(upstream: _Upstream) -> bytes:
    return rank(upstream.name)


def drained_upstreams(doc: document.Document) -> frozenset[str]:
    """Returns the names of the upstreams covered by the document's drains."""
    targets = {(d.kind, d.target) for d in doc.drains}
    return frozenset(
        u.name
        for u in doc.upstreams
        if ("upstream", u.name) in targets
        or ("region", u.region) in targets
        or ("failure_domain", f"{u.region}/{u.failure_domain}") in targets
    )

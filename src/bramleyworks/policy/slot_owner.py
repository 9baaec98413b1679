"""The owner's exact count of used slots (section 3.5)."""

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

# Part of its slots above which an upstream counts as busy.
BUSY_FRACTION = 0.7
# A granted slot must be used within this time. A loan that starts later than a
# new owner's first believed reading is in no count: seed 1094 of the
# differential test overloaded an upstream this way.
LOAN_START_TIMEOUT_S = 1.0
# A borrower cancels at the loan's deadline by its own clock; the owner waits
# this long for the cancellation to reach the upstream.
RECLAIM_DELAY_S = 1.0
# A load reading may describe the upstream this long before it arrived.
MAX_READING_LAG_S = 3.0
# An upstream that appeared in the document within this time before its owner
# took it is cold.
NEW_UPSTREAM_S = 60.0
# Usable slots that change with time are computed again after this.
LIMIT_REFRESH_S = 0.05
# Overdue slots are rare, so all uses are looked at only this often.
OVERDUE_CHECK_INTERVAL_S = 0.25
# A version with less than this share of its service's requests is sent to as
# few upstreams as possible.
SMALL_SHARE = 0.1
SHARE_HALF_LIFE_S = 10.0
# With fewer recent requests than this the share is not known yet, and a
# version other than the service's own counts as small.
MIN_SHARE_REQUESTS = 30.0

PoolKey = tuple[str, str, str]


class _Upstream:
    """Counts and limits of one upstream."""

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
    """Upstreams that can run the same requests, and who waits for them."""

    __slots__ = ("key", "queue", "service", "upstreams")

    def __init__(self, key: PoolKey, service: service_lib.Service, weights):
        self.key = key
        self.service = service
        self.upstreams: list[_Upstream] = []
        self.queue = fair_queue.FairQueue(service.queue_limit, weights)


@dataclasses.dataclass(frozen=True)
class _VersionShare:
    """Recent requests of a service and of its versions other than the main."""

    service_requests: float
    version_requests: float
    at_s: float


class SlotOwner:
    """Counts, for each upstream this VM owns, the slots taken by all VMs.

    This is a mutable class whose methods take the time: copying the counts of
    all upstreams for each request would cost more than the decision itself.
    A use of a slot is identified by an id that no other use of any
    incarnation has, so a late or repeated release finds nothing to free.

    Uses outlive ownership: when an upstream is lost and taken again while
    requests run, they still count.
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
        """Takes a document into force."""
        self._services = {s.name: s for s in doc.services}
        for svc in doc.services:
            # Loans made under an earlier, longer limit still run.
            self._max_request_s[svc.name] = max(
                svc.max_request_s, self._max_request_s.get(svc.name, 0.0)
            )
        # Organisations pay for rates, so each gets service in proportion to
        # its rate. With equal weights the largest one always waited longest.
        self._weights = {
            o.name: o.weight * o.rate_per_s for o in doc.organisations
        }
        drained = drained_upstreams(doc)
        specs = {
            u.name: u for u in doc.upstreams if u.service in self._services
        }
        for name, known in list(self._upstreams.items()):
            if name not in specs:
                known.is_removed = True
                if not known.used:
                    del self._upstreams[name]
        for name, spec in specs.items():
            known = self._upstreams.get(name)
            if known is None:
                known = self._upstreams[name] = _Upstream(spec)
                if self._configured:
                    known.added_s = now_s
            elif known.is_removed or (known.spec.url, known.spec.version) != (
                spec.url,
                spec.version,
            ):
                known.added_s = known.cold_since_s = now_s
                known.health = upstream_health.UpstreamHealth()
            elif known.drained and name not in drained:
                known.cold_since_s = now_s
            known.spec = spec
            known.is_removed = False
            known.drained = name in drained
        self._configured = True
        self._track_versions(now_s)
        self._build_pools()
        self.set_owned(self._owned, now_s)

    def set_owned(self, names: frozenset[str], now_s: float) -> None:
        """Takes the upstreams that the ledger gives this VM."""
        self._owned = names
        for name, known in self._upstreams.items():
            if name in names and not known.owned:
                self._take_over(known, now_s)
            elif known.owned and name not in names:
                known.owned = False
            self._update_limit(known, now_s)
        self._limit_probe_exclusions(now_s)

    @property
    def owned(self) -> frozenset[str]:
        """Names given by the ledger, known in the document or not."""
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
        """Takes a free slot at once.

        Args:
            key: Service, version and region of the upstream.
            organisation: Organisation of the request.
            exclude: Upstreams not wanted.
            now_s: Monotonic time in seconds.
            borrower: VM that asks, empty for this one.
            foreign: Whether the request comes from another region; it leaves
                the service's ``reserve_slots`` free.
        """
        pool = self._pools.get(key)
        if pool is None or pool.queue:
            return None
        best = None
        best_free = 0
        total = 0
        packed = self._has_small_share(pool, now_s)
        for known in pool.upstreams:
            if known.is_unavailable:
                continue
            if now_s >= known.limit_until_s:
                self._update_limit(known, now_s)
            state = known.health
            if state.excluded:
                if (
                    not foreign
                    and known.name not in exclude
                    and self._trial_due(known, now_s)
                ):
                    return self._record_use(
                        known, pool, organisation, borrower, now_s, True
                    )
                continue
            free = known.limit - known.used
            if free <= 0:
                continue
            total += free
            if known.name in exclude:
                continue
            if packed:
                free = 1
            elif (
                state.probe_failures
                >= outlier_detection.MAX_CONSECUTIVE_FAILURES
            ):
                free = 0.5
            if free > best_free:
                best = known
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
        """Adds a request of this region; None if the queue is full."""
        pool = self._get_pool(key)
        if pool is None:
            return None
        return pool.queue.push(organisation, item, deadline_s, exclude, now_s)

    def remove(self, key: PoolKey, entry: queue_entry.QueueEntry) -> bool:
        """Takes an entry out of its queue; False if it has left already."""
        pool = self._pools.get(key)
        return pool is not None and pool.queue.remove(entry)

    def release(
        self, use_id: int, outcome: slot_outcome.SlotOutcome, now_s: float
    ) -> slot_use.SlotUse | None:
        """Frees a slot once; None if the use has ended already."""
        use = self._uses.pop(use_id, None)
        if use is None:
            return None
        pool = self._pools.get(use.pool)
        if pool is not None:
            pool.queue.record_end(use.organisation)
        known = self._upstreams.get(use.upstream)
        if known is None:
            return use
        known.used -= 1
        if known.trial_use_id == use_id:
            known.trial_use_id = 0
        state = outlier_detection.after_result(
            known.health, outcome, use.trial, now_s
        )
        if state is not known.health:
            known.health = state
            known.limit_until_s = -math.inf
        if known.is_removed and not known.used:
            del self._upstreams[known.name]
        return use

    def grant(
        self, key: PoolKey, now_s: float
    ) -> list[tuple[queue_entry.QueueEntry, slot_use.SlotUse]]:
        """Gives free slots to the queue of one pool in fair order."""
        pool = self._pools.get(key)
        if pool is None or not pool.queue:
            return []
        granted = []
        while pool.queue:
            chosen = None
            packed = self._has_small_share(pool, now_s)
            open_ones = self._available_upstreams(pool, now_s, packed)
            if not open_ones:
                break
            entry = None
            for known in open_ones:
                name = known.name
                entry = pool.queue.pop(
                    now_s, lambda e, name=name: name not in e.exclude
                )
                if entry is not None:
                    chosen = known
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
        """Takes back overdue slots and drops overdue queue entries."""
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
        """Takes one probe's result, None if it failed.

        Args:
            name: Upstream that was probed.
            reading: Its answer.
            started_s: Monotonic time at which the probe was sent.
            now_s: Monotonic time in seconds.
        """
        known = self._upstreams.get(name)
        if known is None or not known.owned:
            return
        if reading is not None and reading.version != known.spec.version:
            reading = None
        known.health = outlier_detection.after_probe(
            known.health, reading, now_s
        )
        if reading is not None and now_s < known.takeover_wait_until_s:
            self._apply_reading(known, reading, started_s)
        self._update_limit(known, now_s)
        if reading is None or known.health.excluded:
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
                max(known.limit - known.used, 0)
                for known in self._available_upstreams(pool, now_s, False)
                if not known.health.excluded
            )
            free[pool_name(pool.service, version)] = count
        return free

    def has_usable_upstream(self, key: PoolKey) -> bool:
        """Whether any owned upstream of the pool takes requests at all."""
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
        """Returns the slots of an upstream that are taken."""
        known = self._upstreams.get(name)
        return known.used if known else 0

    def health_of(self, name: str) -> upstream_health.UpstreamHealth | None:
        """Returns what is known about the health of an owned upstream."""
        known = self._upstreams.get(name)
        return known.health if known and known.owned else None

    def count_request(self, name: str, version: str, now_s: float) -> None:
        """Counts a request of a version, to know when its share is small."""
        for key in self._versions.get(name, ()):
            share = self._shares[key]
            keep = 0.5 ** ((now_s - share.at_s) / SHARE_HALF_LIFE_S)
            self._shares[key] = _VersionShare(
                share.service_requests * keep + 1.0,
                share.version_requests * keep
                + (1.0 if key[1] == version else 0.0),
                now_s,
            )

    def has_small_share(self, name: str, version: str) -> bool:
        """Whether a version takes a small share of its service's requests."""
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
        """Starts to count versions other than their service's own."""
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
        for known in self._upstreams.values():
            if known.is_removed:
                known.pool = None
                continue
            spec = known.spec
            key = (spec.service, spec.version, spec.region)
            pool = pools.get(key)
            if pool is None:
                pool = pools[key] = self._make_pool(key)
            known.pool = pool
        # Waiting requests of pools whose last upstream left keep waiting for
        # a shift until their deadline.
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

    def _take_over(self, known: _Upstream, now_s: float) -> None:
        known.owned = True
        known.health = upstream_health.UpstreamHealth()
        wait_s = (
            self._max_request_s.get(known.spec.service, 0.0) + RECLAIM_DELAY_S
        )
        known.takeover_wait_until_s = now_s + wait_s
        known.observed_free = 0
        known.has_wrong_reading = False
        known.last_busy = -1
        known.has_changed_reading = False
        if now_s - known.added_s < NEW_UPSTREAM_S:
            known.cold_since_s = now_s

    def _apply_reading(
        self,
        known: _Upstream,
        reading: probe_result.ProbeResult,
        started_s: float,
    ) -> None:
        # The previous owner starts nothing any more, so its requests only
        # become fewer: the highest number of free slots ever shown since
        # bounds the use by this owner.
        wait_s = (
            self._max_request_s.get(known.spec.service, 0.0) + RECLAIM_DELAY_S
        )
        taken_s = known.takeover_wait_until_s - wait_s
        # Earlier readings may miss requests that the previous owner granted
        # last.
        if started_s < taken_s + LOAN_START_TIMEOUT_S + MAX_READING_LAG_S:
            return
        seen = sum(
            use.upstream == known.name
            and use.taken_s < started_s - MAX_READING_LAG_S
            for use in self._uses.values()
        )
        if reading.busy < seen:
            # It does not show requests that surely run, so it is frozen or
            # wrong, and the wait must be sat out.
            known.has_wrong_reading = True
        if known.last_busy >= 0 and reading.busy != known.last_busy:
            known.has_changed_reading = True
        known.last_busy = max(reading.busy, 0)
        known.observed_free = max(
            known.observed_free,
            known.spec.slots - max(reading.busy, 0),
        )

    def _update_limit(self, known: _Upstream, now_s: float) -> None:
        """Computes how many slots are usable, and until when that holds."""
        pool = known.pool
        was_listed = pool is not None and known in pool.upstreams
        if pool is not None and known.owned != was_listed:
            if known.owned:
                pool.upstreams.append(known)
                pool.upstreams.sort(key=_rank)
            else:
                pool.upstreams.remove(known)
        known.is_unavailable = (
            not known.owned
            or known.drained
            or pool is None
            or known.health.draining
        )
        known.limit_until_s = math.inf
        if known.is_unavailable:
            known.limit = 0
            return
        limit = known.spec.slots
        warmup_s = pool.service.warmup_s
        warm_s = max(known.cold_since_s, known.health.readmitted_s)
        if now_s < warm_s + warmup_s:
            rise = (limit - 1) * (now_s - warm_s) / warmup_s
            limit = 1 + int(rise)
            known.limit_until_s = now_s + LIMIT_REFRESH_S
        if now_s < known.takeover_wait_until_s:
            shown = 0 if known.has_wrong_reading else known.observed_free
            if not known.has_changed_reading:
                # The endpoint may be frozen; one request at a time makes a
                # live one change and bounds the excess on a frozen one.
                shown = min(shown, 1)
            limit = min(limit, shown)
            known.limit_until_s = now_s + LIMIT_REFRESH_S
        known.limit = limit

    def _available_upstreams(
        self, pool: _Pool, now_s: float, packed: bool
    ) -> list[_Upstream]:
        """Returns upstreams with a free slot, the preferred one first."""
        found = []
        for known in pool.upstreams:
            if known.is_unavailable:
                continue
            if now_s >= known.limit_until_s:
                self._update_limit(known, now_s)
            if known.health.excluded:
                if self._trial_due(known, now_s):
                    found.append(known)
            elif known.used < known.limit:
                found.append(known)
        if not packed and len(found) > 1:
            found.sort(
                key=lambda u: (
                    not u.health.excluded,
                    outlier_detection.is_suspect(u.health),
                    u.used - u.limit,
                )
            )
        return found

    def _trial_due(self, known: _Upstream, now_s: float) -> bool:
        return (
            not known.trial_use_id
            and now_s >= known.health.next_half_open_s
            and known.used < known.limit
        )

    def _record_use(
        self,
        known: _Upstream,
        pool: _Pool,
        organisation: str,
        borrower: str,
        now_s: float,
        trial: bool,
    ) -> slot_use.SlotUse:
        self._next_id += 1
        use = slot_use.SlotUse(
            self._next_id,
            known.name,
            pool.key,
            organisation,
            borrower,
            now_s,
            now_s + pool.service.max_request_s,
            trial,
            known.used + 1 > BUSY_FRACTION * known.spec.slots,
        )
        self._uses[use.use_id] = use
        known.used += 1
        if trial:
            known.trial_use_id = use.use_id
        pool.queue.record_start(organisation, now_s)
        return use

    def _has_small_share(self, pool: _Pool, now_s: float) -> bool:
        if pool.key[1] == pool.service.version:
            return False
        return self.has_small_share(pool.key[0], pool.key[1])

    def _limit_probe_exclusions(self, now_s: float) -> None:
        groups: dict[str, dict[str, upstream_health.UpstreamHealth]] = {}
        for name, known in self._upstreams.items():
            if known.owned:
                groups.setdefault(known.spec.service, {})[name] = known.health
        for states in groups.values():
            for name, state in outlier_detection.apply_probe_exclusions(
                states, now_s
            ).items():
                self._upstreams[name].health = state
                self._update_limit(self._upstreams[name], now_s)


def id_base(incarnation: str) -> int:
    """Returns where an incarnation's ids start, below 2**63."""
    digest = hashlib.sha256(incarnation.encode()).digest()
    return (int.from_bytes(digest[:4]) >> 1) << 32


def pool_name(service: service_lib.Service, version: str) -> str:
    """Returns the key of a version in reports of free slots."""
    if version == service.version:
        return service.name
    return f"{service.name}/{version}"


def rank(name: str) -> bytes:
    """Returns the fleet-wide order in which a small share fills upstreams."""
    return hashlib.sha256(name.encode()).digest()


def _rank(known: _Upstream) -> bytes:
    return rank(known.name)


def drained_upstreams(doc: document.Document) -> frozenset[str]:
    """Returns the upstreams that the document's drains cover."""
    targets = {(d.kind, d.target) for d in doc.drains}
    return frozenset(
        u.name
        for u in doc.upstreams
        if ("upstream", u.name) in targets
        or ("region", u.region) in targets
        or ("failure_domain", f"{u.region}/{u.failure_domain}") in targets
    )

"""The known upstreams and the choice of one for a request."""

import collections
import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from absl import logging

from bramleyworks.gateway import instance as instance_module
from bramleyworks.gateway import load_report
from bramleyworks.gateway import rate_limits
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_wishes
from bramleyworks.platform import wire_load
from bramleyworks.policy import placement
from bramleyworks.policy import rendezvous
from bramleyworks.policy import work_factor

# Objects whose owners are kept.
MAX_KNOWN_OWNERS = 4096
# Round trips that are assumed until a connection has measured them.
DEFAULT_SAME_REGION_RTT_S = 0.002
DEFAULT_OTHER_REGION_RTT_S = 0.07
RTT_SMOOTHING_FACTOR = 0.2
# Fraction of a cold upstream's rate limit that VMs use together; the rest
# covers VMs that do not know of each other yet.
COLD_CAPACITY_SHARE = 0.9
# Older load reports are stale and not passed on.
MAX_LOAD_REPORT_AGE_S = 1.0
# Work factor and age of a service whose upstreams report none.
NO_FACTOR = (work_factor.USUAL, 0.0)


class Registry:
    """Indexes upstreams by id and by service.

    Attributes:
        rate_limits: Rate limits that upstreams name.
        wishes: What upstreams said about further requests.
        malformed_loads: Responses whose load could not be decoded.
    """

    def __init__(
        self,
        region: str,
        regions: Mapping[str, str],
        clock: Callable[[], float],
        rng: random.Random | None = None,
    ):
        """Initializes an empty registry.

        Args:
            region: Region of this VM.
            regions: Region of each failure domain.
            clock: Monotonic time in seconds.
            rng: Source of choices that should differ from VM to VM; None for
                one with a random seed.
        """
        self._rng = rng or random.Random()
        self.malformed_loads = 0
        self._region = region
        self._regions = regions
        self._clock = clock
        self.rate_limits = rate_limits.RateLimits(clock)
        self.wishes = upstream_wishes.UpstreamWishes(clock)
        self._upstreams: dict[str, upstream_module.Upstream] = {}
        self._by_address: dict[tuple[str, int], upstream_module.Upstream] = {}
        # Upstreams of each service by region.
        self._by_service: dict[
            str, dict[str, list[upstream_module.Upstream]]
        ] = {}
        # Numbers of upstreams by service and version, counted when needed.
        self._version_counts: dict[str, collections.Counter[str]] = {}
        self._evacuated: set[str] = set()
        self._base_versions: dict[str, str] = {}
        self._rtt_s: dict[str, float] = {}
        # The owner of each object among some upstreams of one region. More
        # copies would evict other objects from caches of unknown size.
        self._owners: collections.OrderedDict[
            tuple[str, str], tuple[frozenset[str], str]
        ] = collections.OrderedDict()
        # Shared by the entries above to save memory.
        self._last_names: dict[tuple[str, str], frozenset[str]] = {}

    def register(
        self, instance_id: str, instance: instance_module.Instance | None
    ) -> None:
        """Adds, updates or removes an upstream.

        Args:
            instance_id: Id of the upstream.
            instance: Its registration, None if it was removed.
        """
        known = self._upstreams.get(instance_id)
        if instance is None:
            if known is not None:
                self._remove(known)
            return
        if known is not None and _is_same_place(known.instance, instance):
            known.register(instance)
            self._version_counts.pop(instance.service, None)
        else:
            if known is not None:
                self._remove(known)
            self._add(instance)

    def _add(self, instance: instance_module.Instance) -> None:
        address = (instance.host, instance.port)
        # An address belongs to the latest registration that has it.
        other = self._by_address.get(address)
        if other is not None:
            self._remove(other)
        added = upstream_module.Upstream(instance, self.wishes, self._clock)
        self._upstreams[instance.id] = added
        self._by_address[address] = added
        self._by_service.setdefault(instance.service, {}).setdefault(
            self.region_of(added), []
        ).append(added)
        self._version_counts.pop(instance.service, None)
        logging.info(
            "upstream %s of %s added in %s with version %s",
            instance.id,
            instance.service,
            instance.failure_domain,
            instance.version,
        )

    def _remove(self, known: upstream_module.Upstream) -> None:
        instance = known.instance
        del self._upstreams[instance.id]
        del self._by_address[instance.host, instance.port]
        self._by_service[instance.service][self.region_of(known)].remove(known)
        self._version_counts.pop(instance.service, None)
        self.wishes.forget_unknown_start(instance)
        known.close()
        logging.info("upstream %s removed", instance.id)

    def evacuate(self, failure_domain: str, is_active: bool) -> None:
        """Starts or ends the evacuation of a failure domain."""
        if is_active:
            self._evacuated.add(failure_domain)
        else:
            self._evacuated.discard(failure_domain)
        logging.info(
            "failure domain %s %s",
            failure_domain,
            "evacuated" if is_active else "no longer evacuated",
        )

    def get(self, instance_id: str) -> upstream_module.Upstream | None:
        """Returns the upstream with an id, None if there is none."""
        return self._upstreams.get(instance_id)

    def all(self) -> Iterable[upstream_module.Upstream]:
        """Returns all upstreams."""
        return self._upstreams.values()

    @property
    def count(self) -> int:
        """Number of known upstreams."""
        return len(self._upstreams)

    def region_of(self, upstream: upstream_module.Upstream) -> str:
        """Returns the region of an upstream, empty if it is unknown."""
        return self._regions.get(upstream.instance.failure_domain, "")

    def rtt_s(self, region: str) -> float:
        """Returns the network round trip to a region in seconds."""
        known = self._rtt_s.get(region)
        if known is not None:
            return known
        is_own = region == self._region
        return (
            DEFAULT_SAME_REGION_RTT_S if is_own else DEFAULT_OTHER_REGION_RTT_S
        )

    def record_rtt(self, region: str, measured_s: float) -> None:
        """Records the seconds that one connection set-up to a region took."""
        known = self.rtt_s(region)
        self._rtt_s[region] = known + RTT_SMOOTHING_FACTOR * (
            measured_s - known
        )

    def running_versions(self, service: str) -> set[str]:
        """Returns the versions that a service's upstreams run."""
        return set(self._count_versions(service))

    def _count_versions(self, service: str) -> collections.Counter[str]:
        """Returns the number of a service's upstreams by version."""
        known = self._version_counts.get(service)
        if known is None:
            known = self._version_counts[service] = collections.Counter(
                u.instance.version for u in self._upstreams_of(service)
            )
        return known

    def _upstreams_of(self, service: str) -> Iterator[upstream_module.Upstream]:
        for upstreams in self._by_service.get(service, {}).values():
            yield from upstreams

    @property
    def services(self) -> Iterable[str]:
        """Services that have, or had, upstreams."""
        return self._by_service.keys()

    def base_version(
        self, service: str, undecided: str | None = None
    ) -> str | None:
        """Returns the version that serves while no move is ordered.

        It is the one that most upstreams ran when the service was first seen,
        of several the one that has run longest; upstreams of other versions
        get no requests until a move is ordered.

        Args:
            service: Name of the service.
            undecided: Target of a move that is not done, None for no move. A
                VM that starts during the move must not take it for the base.
        """
        known = self._base_versions.get(service)
        counts = self._count_versions(service)
        if known is None and counts:
            oldest_ms: dict[str, int] = {}
            for upstream in self._upstreams_of(service):
                instance = upstream.instance
                oldest_ms[instance.version] = min(
                    instance.started_ms,
                    oldest_ms.get(instance.version, instance.started_ms),
                )
            known = max(
                counts,
                key=lambda version: (
                    version != undecided,
                    counts[version],
                    -oldest_ms[version],
                    version,
                ),
            )
            if known != undecided:
                self._base_versions[service] = known
        return known

    def set_base_version(self, service: str, version: str) -> None:
        """Sets the version that serves after a finished move."""
        self._base_versions[service] = version

    def regions(self, service: str) -> Iterable[str]:
        """Returns the regions that have upstreams of a service."""
        return self._by_service.get(service, {}).keys()

    def usable_upstreams(
        self, service: str, region: str, versions: set[str]
    ) -> Iterator[upstream_module.Upstream]:
        """Yields the upstreams of a service that may get requests.

        Args:
            service: Name of the service.
            region: Region of the upstreams.
            versions: Versions that requests may be sent to.
        """
        for upstream in self._by_service.get(service, {}).get(region, ()):
            if not upstream.is_excluded and self._wants_requests(
                upstream, versions
            ):
                yield upstream

    def has_excluded(
        self, service: str, region: str, versions: set[str]
    ) -> bool:
        """Returns whether outlier detection alone keeps an upstream out.

        Args:
            service: Name of the service.
            region: Region of the upstream.
            versions: Versions that requests may be sent to.
        """
        return any(
            upstream.is_excluded and self._wants_requests(upstream, versions)
            for upstream in self._by_service.get(service, {}).get(region, ())
        )

    def _wants_requests(
        self, upstream: upstream_module.Upstream, versions: set[str]
    ) -> bool:
        instance = upstream.instance
        return (
            not instance.is_draining
            and instance.version in versions
            and instance.failure_domain not in self._evacuated
            and not upstream.is_leaving
            and not upstream.pause_s
        )

    def shortest_pause_s(self, service: str) -> float:
        """Returns the seconds until a paused upstream may get requests.

        0 if no upstream of the service has asked for a pause.
        """
        pauses = [
            u.pause_s
            for upstreams in self._by_service.get(service, {}).values()
            for u in upstreams
            if u.pause_s
        ]
        return min(pauses, default=0.0)

    def send_wait_s(self, upstream: upstream_module.Upstream) -> float:
        """Returns the seconds until its rate limit lets this VM send to it.

        Returns:
            0 if this VM may send now, infinity if others may but not this one.
        """
        return self.rate_limits.wait_s(
            upstream.instance, self.region_of(upstream)
        )

    def send_share_per_s(self, upstream: upstream_module.Upstream) -> float:
        """Returns this VM's share of its rate limit, infinity for no limit."""
        return self.rate_limits.share_per_s(
            upstream.instance, self.region_of(upstream)
        )

    def capacity(
        self, service: str, versions: set[str], work_s: float
    ) -> dict[str, float]:
        """Returns the effective slots of the usable upstreams by region.

        Args:
            service: Name of the service.
            versions: Versions that requests may be sent to.
            work_s: Mean processing time of its requests in seconds; a rate
                limit keeps no more slots busy than rate times this. Infinity
                if it is not known yet.
        """
        slots: dict[str, float] = {}
        for region in self.regions(service):
            found = [
                self._effective_slots(u, work_s)
                for u in self.usable_upstreams(service, region, versions)
            ]
            if found:
                slots[region] = sum(found)
        return slots

    def busy_share(self, service: str, versions: set[str]) -> float:
        """Returns the share of a service's slots in this region in use.

        Args:
            service: Name of the service.
            versions: Versions that requests may be sent to.
        """
        busy = slots = 0.0
        for upstream in self.usable_upstreams(service, self._region, versions):
            slots += upstream.instance.slots
            busy += min(upstream.load(), upstream.instance.slots)
        return busy / slots if slots else 0.0

    def _effective_slots(
        self, upstream: upstream_module.Upstream, work_s: float
    ) -> float:
        slots = upstream.instance.slots / max(1.0, upstream.slowness)
        rate_per_s = self.rate_limits.rate_per_s(upstream.instance)
        if rate_per_s is None or math.isinf(work_s):
            return slots
        return min(slots, rate_per_s * work_s)

    def forget_limits(self) -> None:
        """Drops old rate limits of upstreams that have left."""
        self.rate_limits.forget(self._upstreams)

    def region_limit_reports(self) -> dict[str, rate_limits.Report]:
        """Returns the rate limits of this region's upstreams, from any VM."""
        return self.rate_limits.reports(
            u.instance.id
            for u in self.all()
            if self.region_of(u) == self._region
        )

    def load_reports(self, since_s: float) -> dict[str, tuple[int, int]]:
        """Returns the load reports that this VM received from upstreams.

        Args:
            since_s: Monotonic time in seconds; older reports are left out.

        Returns:
            Requests at each upstream, and the age of the report in hundredths
            of a second.
        """
        return self._encode_loads(
            {u: u.report_since(since_s, True) for u in self.all()}
        )

    def region_load_reports(self) -> dict[str, tuple[int, int]]:
        """Returns load reports of this region's upstreams, from any VM."""
        since_s = self._clock() - MAX_LOAD_REPORT_AGE_S
        return self._encode_loads(
            {
                u: u.report_since(since_s, False)
                for u in self.all()
                if self.region_of(u) == self._region
            }
        )

    def _encode_loads(
        self,
        reports: Mapping[
            upstream_module.Upstream, load_report.LoadReport | None
        ],
    ) -> dict[str, tuple[int, int]]:
        now_s = self._clock()
        return {
            upstream.instance.id: (
                found.requests,
                round((now_s - found.at_s) * 100),
            )
            for upstream, found in reports.items()
            if found is not None
        }

    def work_percents(
        self, names: Iterable[str], own_only: bool
    ) -> dict[str, int]:
        """Returns the work factors of load reports, in percent.

        Args:
            names: Upstreams whose load reports are passed on.
            own_only: Whether to ignore reports to other VMs.

        Returns:
            Those that differ from the usual value.
        """
        found = {}
        for name in names:
            report = self._upstreams[name].report_since(-math.inf, own_only)
            factor = report.work_factor if report else None
            if factor is not None and not work_factor.is_usual(factor):
                found[name] = round(factor * 100)
        return found

    def record_peer_loads(
        self,
        loads: Mapping[str, tuple[int, int]],
        work_percents: Mapping[str, int] | None = None,
    ) -> None:
        """Records load reports that another VM received.

        Args:
            loads: Requests at each upstream and the age of the report.
            work_percents: Work factors that differ from the usual value, in
                percent; None if the other VM does not pass them on.
        """
        for name, (load, hundredths) in loads.items():
            known = self._upstreams.get(name)
            if known is None:
                continue
            factor = None
            if work_percents is not None:
                percent = work_percents.get(name, 100)
                if wire_load.is_work_percent(percent):
                    factor = percent / 100
            known.record_peer_load(load, hundredths / 100, factor)

    def choose(
        self,
        region: str,
        candidates: list[upstream_module.Upstream],
        object_key: str,
        demand: placement.Demand,
        is_held: bool = True,
    ) -> placement.Choice:
        """Chooses the best of some upstreams of one service and region.

        Args:
            region: Region of the upstreams.
            candidates: Upstreams to choose from.
            object_key: Object of the request, empty for none.
            demand: What the request needs.
            is_held: Whether some upstream of the region holds the object;
                otherwise all are expected to do the full work.
        """
        owner = self._owner(region, candidates, object_key)
        rtt_s = self.rtt_s(region)
        shares_factors = any(u.has_work_factor for u in candidates)
        return placement.choose(
            [
                placement.Candidate(
                    id=u.instance.id,
                    load=u.load()
                    + (u.instance.slots if u.is_backing_off else 0),
                    slots=u.instance.slots,
                    rtt_s=rtt_s,
                    slowness=u.slowness,
                    is_warm=not object_key
                    or (
                        is_held
                        and (u.instance.id == owner or u.has_cached(object_key))
                    ),
                    is_home=not object_key or u.instance.id == owner,
                    work_factor=factor,
                    factor_age_s=age_s,
                )
                for u in candidates
                for factor, age_s in (
                    u.reported_factor if shares_factors else NO_FACTOR,
                )
            ],
            demand,
            self._rng if shares_factors else None,
        )

    def _owner(
        self,
        region: str,
        candidates: list[upstream_module.Upstream],
        object_key: str,
    ) -> str:
        """Returns the upstream that should have an object cached.

        Empty if there is no object. The known owner stays valid while the set
        of upstreams is the same, or has lost others than the owner.
        """
        if not object_key or not candidates:
            return ""
        names = frozenset(u.instance.id for u in candidates)
        key = (object_key, region)
        known = self._owners.get(key)
        if known is not None and known[1] in names and names <= known[0]:
            self._owners.move_to_end(key)
            return known[1]
        owner = max(names, key=lambda name: rendezvous.weight(object_key, name))
        service = candidates[0].instance.service
        if names != self._last_names.get((service, region)):
            self._last_names[service, region] = names
        self._owners[key] = (self._last_names[service, region], owner)
        if len(self._owners) > MAX_KNOWN_OWNERS:
            self._owners.popitem(last=False)
        return owner


def _is_same_place(
    one: instance_module.Instance, other: instance_module.Instance
) -> bool:
    """Returns whether two registrations have the same service and address."""
    return (one.service, one.host, one.port, one.failure_domain) == (
        other.service,
        other.host,
        other.port,
        other.failure_domain,
    )

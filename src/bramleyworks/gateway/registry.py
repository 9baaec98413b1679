"""The known upstreams and the choice of one for a request."""

import functools
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from absl import logging

from bramleyworks.gateway import instance as instance_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import placement
from bramleyworks.policy import rendezvous

# Upstreams of a region that own an object, that is, are expected to have it
# cached. More copies would evict other objects from caches of unknown size.
OWNERS_PER_REGION = 1
# Round trips that are assumed until a connection has measured them.
DEFAULT_SAME_REGION_RTT_S = 0.002
DEFAULT_OTHER_REGION_RTT_S = 0.07
RTT_SMOOTHING_FACTOR = 0.2
# Fraction of a cold upstream's rate limit that VMs use together; the rest
# covers VMs that do not know of each other yet.
COLD_CAPACITY_SHARE = 0.9
# Older load reports are stale and not passed on.
MAX_LOAD_REPORT_AGE_S = 1.0


class Registry:
    """Indexes upstreams by id and by service."""

    def __init__(
        self,
        region: str,
        regions: Mapping[str, str],
        clock: Callable[[], float],
    ):
        """Initializes an empty registry.

        Args:
            region: Region of this VM.
            regions: Region of each failure domain.
            clock: Monotonic time in seconds.
        """
        self._region = region
        self._regions = regions
        self._clock = clock
        self._upstreams: dict[str, upstream_module.Upstream] = {}
        self._by_service: dict[str, list[upstream_module.Upstream]] = {}
        self._evacuated: set[str] = set()
        self._base_versions: dict[str, str] = {}
        self._rtt_s: dict[str, float] = {}
        self._rank_owners = functools.lru_cache(maxsize=4096)(rendezvous.rank)

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
        if known is not None and known.instance.service == instance.service:
            known.register(instance)
        else:
            if known is not None:
                self._remove(known)
            self._add(instance)

    def _add(self, instance: instance_module.Instance) -> None:
        for other in list(self._upstreams.values()):
            # An address belongs to the latest registration that has it.
            if (other.instance.host, other.instance.port) == (
                instance.host,
                instance.port,
            ):
                self._remove(other)
        added = upstream_module.Upstream(instance, self._clock)
        self._upstreams[instance.id] = added
        self._by_service.setdefault(instance.service, []).append(added)
        logging.info(
            "upstream %s of %s added in %s with version %s",
            instance.id,
            instance.service,
            instance.failure_domain,
            instance.version,
        )

    def _remove(self, known: upstream_module.Upstream) -> None:
        del self._upstreams[known.instance.id]
        self._by_service[known.instance.service].remove(known)
        known.close()
        logging.info("upstream %s removed", known.instance.id)

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
        return {u.instance.version for u in self._by_service.get(service, ())}

    def base_version(self, service: str) -> str | None:
        """Returns the version that serves while no move is ordered.

        It is the one that most upstreams ran when the service was first seen;
        upstreams of other versions get no requests until a move is ordered.
        """
        known = self._base_versions.get(service)
        counts: dict[str, int] = {}
        for upstream in self._by_service.get(service, ()):
            version = upstream.instance.version
            counts[version] = counts.get(version, 0) + 1
        if known is None and counts:
            known = max(counts, key=lambda version: (counts[version], version))
            self._base_versions[service] = known
        return known

    def set_base_version(self, service: str, version: str) -> None:
        """Sets the version that serves after a finished move."""
        self._base_versions[service] = version

    def usable_upstreams(
        self, service: str, versions: set[str]
    ) -> list[upstream_module.Upstream]:
        """Returns the upstreams of a service that may get requests."""
        return [
            u
            for u in self._by_service.get(service, ())
            if not u.instance.is_draining
            and u.instance.version in versions
            and u.instance.failure_domain not in self._evacuated
            and not u.is_excluded
        ]

    def capacity(self, service: str, versions: set[str]) -> dict[str, float]:
        """Returns the effective slots of the usable upstreams by region."""
        slots: dict[str, float] = {}
        for upstream in self.usable_upstreams(service, versions):
            region = self.region_of(upstream)
            effective = upstream.instance.slots / max(1.0, upstream.slowness)
            slots[region] = slots.get(region, 0.0) + effective
        return slots

    def load_reports(self, since_s: float) -> dict[str, tuple[int, int]]:
        """Returns the load reports that this VM received from upstreams.

        Args:
            since_s: Monotonic time in seconds; older reports are left out.

        Returns:
            Requests at each upstream, and the age of the report in hundredths
            of a second.
        """
        return _encode_loads(
            {u: u.reported_load_since(since_s, True) for u in self.all()}
        )

    def region_load_reports(self) -> dict[str, tuple[int, int]]:
        """Returns load reports of this region's upstreams, from any VM."""
        since_s = self._clock() - MAX_LOAD_REPORT_AGE_S
        return _encode_loads(
            {
                u: u.reported_load_since(since_s, False)
                for u in self.all()
                if self.region_of(u) == self._region
            }
        )

    def record_peer_loads(self, loads: Mapping[str, tuple[int, int]]) -> None:
        """Records load reports that another VM received."""
        for name, (load, hundredths) in loads.items():
            known = self._upstreams.get(name)
            if known is not None:
                known.record_peer_load(load, hundredths / 100)

    def choose(
        self,
        candidates: list[upstream_module.Upstream],
        object_key: str,
        demand: placement.Demand,
    ) -> placement.Choice:
        """Chooses the best of some upstreams of one service.

        Args:
            candidates: Upstreams to choose from.
            object_key: Object of the request, empty for none.
            demand: What the request needs.
        """
        owners = self._owners(candidates, object_key)
        return placement.choose(
            [
                placement.Candidate(
                    id=u.instance.id,
                    load=u.load()
                    + (u.instance.slots if u.is_backing_off else 0),
                    slots=u.instance.slots,
                    rtt_s=self.rtt_s(self.region_of(u)),
                    slowness=u.slowness,
                    is_warm=not object_key
                    or u.instance.id in owners
                    or u.has_cached(object_key),
                    is_home=not object_key or u.instance.id in owners,
                )
                for u in candidates
            ],
            demand,
        )

    def _owners(
        self, candidates: list[upstream_module.Upstream], object_key: str
    ) -> set[str]:
        if not object_key:
            return set()
        by_region: dict[str, list[str]] = {}
        for upstream in candidates:
            by_region.setdefault(self.region_of(upstream), []).append(
                upstream.instance.id
            )
        found: set[str] = set()
        for names in by_region.values():
            found.update(
                self._rank_owners(object_key, tuple(names))[:OWNERS_PER_REGION]
            )
        return found


def _encode_loads(
    reports: Mapping[upstream_module.Upstream, tuple[int, float] | None],
) -> dict[str, tuple[int, int]]:
    return {
        upstream.instance.id: (found[0], round(found[1] * 100))
        for upstream, found in reports.items()
        if found is not None
    }

"""The upstreams of all services and the choice among them."""

import functools
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from absl import logging

from bramleyworks.gateway import instance as instance_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import placement
from bramleyworks.policy import rendezvous

# Upstreams of a region that are taken to hold an object. More copies push
# other objects out of caches whose size is unknown.
HOLDERS = 1
# Round trips to assume before the first connection has measured them.
SAME_REGION_RTT_S = 0.002
OTHER_REGION_RTT_S = 0.07
RTT_WEIGHT = 0.2
# Part of a cold upstream's tolerance that VMs use together; the rest covers
# VMs that do not know of each other yet.
COLD_USE = 0.9
# Age up to which a told load is passed on; it has lost its meaning then.
MAX_LOAD_REPORT_AGE_S = 1.0


class Registry:
    """Upstreams by identity and by service."""

    def __init__(
        self,
        region: str,
        regions: Mapping[str, str],
        clock: Callable[[], float],
    ):
        """Creates an empty registry.

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
        self._holders = functools.lru_cache(maxsize=4096)(rendezvous.rank)

    def register(
        self, instance_id: str, instance: instance_module.Instance | None
    ) -> None:
        """Takes a registration, None if it is gone."""
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
            # An address belongs to the newest registration that names it.
            if (other.instance.host, other.instance.port) == (
                instance.host,
                instance.port,
            ):
                self._remove(other)
        added = upstream_module.Upstream(instance, self._clock)
        self._upstreams[instance.id] = added
        self._by_service.setdefault(instance.service, []).append(added)
        logging.info(
            "upstream %s of %s joined in %s with version %s",
            instance.id,
            instance.service,
            instance.failure_domain,
            instance.version,
        )

    def _remove(self, known: upstream_module.Upstream) -> None:
        del self._upstreams[known.instance.id]
        self._by_service[known.instance.service].remove(known)
        known.close()
        logging.info("upstream %s left", known.instance.id)

    def evacuate(self, failure_domain: str, is_active: bool) -> None:
        """Begins or ends the evacuation of a failure domain."""
        if is_active:
            self._evacuated.add(failure_domain)
        else:
            self._evacuated.discard(failure_domain)
        logging.info(
            "failure domain %s %s",
            failure_domain,
            "evacuated" if is_active else "taken back",
        )

    def get(self, instance_id: str) -> upstream_module.Upstream | None:
        """Returns an upstream by its identity."""
        return self._upstreams.get(instance_id)

    def all(self) -> Iterable[upstream_module.Upstream]:
        """Returns all upstreams."""
        return self._upstreams.values()

    def region_of(self, upstream: upstream_module.Upstream) -> str:
        """Returns the region of an upstream, empty if it is unknown."""
        return self._regions.get(upstream.instance.failure_domain, "")

    def rtt_s(self, region: str) -> float:
        """Returns the network round trip to a region."""
        known = self._rtt_s.get(region)
        if known is not None:
            return known
        is_own = region == self._region
        return SAME_REGION_RTT_S if is_own else OTHER_REGION_RTT_S

    def record_rtt(self, region: str, measured_s: float) -> None:
        """Takes the time of one connection set-up."""
        known = self.rtt_s(region)
        self._rtt_s[region] = known + RTT_WEIGHT * (measured_s - known)

    def versions(self, service: str) -> set[str]:
        """Returns the versions that a service's upstreams run."""
        return {u.instance.version for u in self._by_service.get(service, ())}

    def base_version(self, service: str) -> str | None:
        """Returns the version that serves while no move is ordered.

        It is the one that most upstreams ran when the service was first seen;
        upstreams of another version wait for an order.
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
        """Sets the version that a finished move left in place."""
        self._base_versions[service] = version

    def usable_upstreams(
        self, service: str, versions: set[str]
    ) -> list[upstream_module.Upstream]:
        """Returns the upstreams that may get requests."""
        return [
            u
            for u in self._by_service.get(service, ())
            if not u.instance.is_draining
            and u.instance.version in versions
            and u.instance.failure_domain not in self._evacuated
            and not u.is_excluded
        ]

    def capacity(self, service: str, versions: set[str]) -> dict[str, float]:
        """Returns the slots of the usable upstreams by region."""
        slots: dict[str, float] = {}
        for upstream in self.usable_upstreams(service, versions):
            region = self.region_of(upstream)
            given = upstream.instance.slots / max(1.0, upstream.slowness)
            slots[region] = slots.get(region, 0.0) + given
        return slots

    def load_reports(self, since_s: float) -> dict[str, tuple[int, int]]:
        """Returns the loads that upstreams have told this VM.

        Args:
            since_s: Monotonic time after which they were told.

        Returns:
            Requests at each upstream, and hundredths of a second since then.
        """
        return _encode_loads(
            {u: u.reported_load_since(since_s, True) for u in self.all()}
        )

    def region_load_reports(self) -> dict[str, tuple[int, int]]:
        """Returns the loads that upstreams of this region told any VM."""
        since_s = self._clock() - MAX_LOAD_REPORT_AGE_S
        return _encode_loads(
            {
                u: u.reported_load_since(since_s, False)
                for u in self.all()
                if self.region_of(u) == self._region
            }
        )

    def record_peer_loads(self, loads: Mapping[str, tuple[int, int]]) -> None:
        """Takes the loads that another VM knows."""
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
        """Chooses one of some upstreams of one service.

        Args:
            candidates: Upstreams to choose from.
            object_key: Object of the request, empty for none.
            demand: What the request needs.
        """
        holders = self._holders_of(candidates, object_key)
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
                    or u.instance.id in holders
                    or u.has_cached(object_key),
                    is_home=not object_key or u.instance.id in holders,
                )
                for u in candidates
            ],
            demand,
        )

    def _holders_of(
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
            found.update(self._holders(object_key, tuple(names))[:HOLDERS])
        return found


def _encode_loads(
    told: Mapping[upstream_module.Upstream, tuple[int, float] | None],
) -> dict[str, tuple[int, int]]:
    return {
        upstream.instance.id: (found[0], round(found[1] * 100))
        for upstream, found in told.items()
        if found is not None
    }

"""Chooses the upstream of a request."""

from collections.abc import Callable

from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import request_context as request_context_module
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import placement

# Parts of the latency objective's slack that requests of each rank may spend
# in a queue. Under load the lower ranks give way first.
PATIENCE_BY_PRIORITY = (1.0, 0.8, 0.5)


class UpstreamSelector:
    """Applies versions, regions, homes and placement to one request."""

    def __init__(
        self,
        region: str,
        world: cluster_state_module.ClusterState,
        traffic: traffic_module.Traffic,
        vm_count: Callable[[str | None], int],
        clock: Callable[[], float],
    ):
        """Takes the collaborators.

        Args:
            region: Region of this VM.
            world: What the VM believes.
            traffic: Demand and regions.
            vms_in: Returns the known VMs of a region, of all for None.
            clock: Monotonic time in seconds.
        """
        self._region = region
        self._world = world
        self._traffic = traffic
        self._vm_count = vm_count
        self._clock = clock

    def work_s(
        self, plan: request_context_module.RequestContext, is_warm: bool
    ) -> float:
        """Returns the time that an upstream works on a request."""
        route = plan.route
        return self._traffic.work_s(
            route.name, plan.service, route.objective_s, is_warm
        )

    def choose(
        self, plan: request_context_module.RequestContext, tried: set[str]
    ) -> tuple[upstream_module.Upstream | None, placement.Choice]:
        """Returns the upstream for the next attempt."""
        registry = self._world.registry
        versions = self._world.eligible_versions(plan.service)
        base = registry.base_version(plan.service)
        wanted = self._world.moves.choose_version(
            plan.service, plan.route.name, plan.object_key, base
        )
        usable = [
            u
            for u in registry.usable_upstreams(plan.service, versions)
            if u.instance.id not in tried
            and (not plan.regions or registry.region_of(u) in plan.regions)
            and not (u.is_cold and registry.region_of(u) != self._region)
        ]
        if wanted is not None:
            of_version = [u for u in usable if u.instance.version == wanted]
            usable = of_version or [
                u for u in usable if u.instance.version == base
            ]
        now_s = self._clock()
        demand = placement.Demand(
            cold_work_s=self.work_s(plan, False),
            warm_work_s=self.work_s(plan, bool(plan.object_key)),
            objective_s=plan.objective_s - now_s,
            remaining_s=plan.deadline_s - now_s,
            slack_fraction=PATIENCE_BY_PRIORITY[
                min(plan.priority, len(PATIENCE_BY_PRIORITY) - 1)
            ],
        )
        by_region: dict[str, list[upstream_module.Upstream]] = {}
        for upstream in usable:
            region = registry.region_of(upstream)
            by_region.setdefault(region, []).append(upstream)
        best = placement.NO_CHOICE
        first = self._traffic.next_region(
            plan.service, plan.object_key, set(by_region)
        )
        order = sorted(
            by_region, key=lambda name: (name != first, registry.rtt_s(name))
        )
        for region in order:
            found, choice = self._choose_in_region(
                plan, by_region[region], demand
            )
            if found is not None and (
                region == first
                or plan.regions
                or self._traffic.acquire_fallback(plan.service)
            ):
                return found, choice
            if best.expected_s == 0.0:
                best = choice
        return None, best

    def _choose_in_region(
        self,
        plan: request_context_module.RequestContext,
        candidates: list[upstream_module.Upstream],
        demand: placement.Demand,
    ) -> tuple[upstream_module.Upstream | None, placement.Choice]:
        """Chooses in one region; passes over cold upstreams that are full."""
        registry = self._world.registry
        choice = placement.NO_CHOICE
        left = list(candidates)
        while left:
            choice = registry.choose(left, plan.object_key, demand)
            if choice.id is None:
                return None, choice
            found = registry.get(choice.id)
            if not found.is_cold or found.take_cold_token(
                self._cold_rate_per_s(plan.service)
            ):
                return found, choice
            left.remove(found)
        return None, choice

    def _cold_rate_per_s(self, service: str) -> float:
        """Returns this VM's part of what a cold upstream tolerates."""
        found = self._world.config.services.get(service)
        if found is None or found.cold_per_s <= 0:
            return 1e9
        return 0.9 * found.cold_per_s / max(1, self._vm_count(self._region))

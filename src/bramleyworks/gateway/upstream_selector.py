"""Selects the upstream for a request."""

import dataclasses
from collections.abc import Callable

from bramleyworks.gateway import cluster_state
from bramleyworks.gateway import request_context
from bramleyworks.gateway import service_pressure
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import placement

# Fraction of the slack in the latency objective that requests may spend in a
# queue, by priority, while there is no pressure on the service. Under pressure,
# ``load_shedding`` decides.
SLACK_FRACTION_BY_PRIORITY = (1.0, 0.8, 0.5)
# Fraction of the objective by which another region has to be expected to
# respond sooner before a request leaves the region that it is assigned to.
# Below it, errors of the estimates decide.
FALLBACK_MARGIN = 0.1
# Least rate of room from which a time to return is computed.
MIN_ROOM_PER_S = 0.1


class UpstreamSelector:
    """Selects an upstream by version, region and expected latency."""

    def __init__(
        self,
        region: str,
        cluster: cluster_state.ClusterState,
        traffic: traffic_module.Traffic,
        pressure: service_pressure.ServicePressure,
        vm_count: Callable[[str | None], int],
        clock: Callable[[], float],
    ):
        """Initializes the selector.

        Args:
            region: Region of this VM.
            cluster: Configuration and upstreams as known to this VM.
            traffic: Demand and the split of requests between regions.
            pressure: Pressure on services.
            vm_count: Returns the number of known VMs in a region, in all
                regions for None.
            clock: Monotonic time in seconds.
        """
        self._region = region
        self._cluster = cluster
        self._traffic = traffic
        self._pressure = pressure
        self._vm_count = vm_count
        self._clock = clock

    def work_s(
        self, ctx: request_context.RequestContext, is_warm: bool
    ) -> float:
        """Returns the estimated processing time of a request in seconds."""
        route = ctx.route
        return self._traffic.work_s(
            route.name, ctx.service, route.objective_s, is_warm
        )

    def choose(
        self, ctx: request_context.RequestContext, tried: set[str]
    ) -> tuple[upstream_module.Upstream | None, placement.Choice]:
        """Returns the upstream for the next attempt.

        Args:
            ctx: Context of the request.
            tried: Ids of the upstreams of earlier attempts.

        Returns:
            The upstream, None if no upstream should get the request now, and
            the expectations for it.
        """
        upstream, choice = self._choose(ctx, tried)
        if upstream is not None and upstream.is_cold:
            upstream.take_cold_token(self._cold_rate_per_s(ctx.service))
        return upstream, choice

    def _choose(
        self, ctx: request_context.RequestContext, tried: set[str]
    ) -> tuple[upstream_module.Upstream | None, placement.Choice]:
        """Returns what ``choose`` does; takes no token of a cold upstream."""
        registry = self._cluster.registry
        versions = self._cluster.eligible_versions(ctx.service)
        base_version = self._cluster.base_version(ctx.service)
        move_version = self._cluster.moves.choose_version(
            ctx.service, ctx.route.name, ctx.object_key, base_version
        )
        now_s = self._clock()
        demand = placement.Demand(
            cold_work_s=self.work_s(ctx, False),
            warm_work_s=self.work_s(ctx, bool(ctx.object_key)),
            objective_s=ctx.objective_s - now_s,
            remaining_s=ctx.deadline_s - now_s,
            slack_fraction=SLACK_FRACTION_BY_PRIORITY[
                min(ctx.priority, len(SLACK_FRACTION_BY_PRIORITY) - 1)
            ],
        )
        by_region: dict[str, list[upstream_module.Upstream]] = {}
        limited: list[upstream_module.Upstream] = []
        has_limits = not registry.rate_limits.is_empty
        for region in registry.regions(ctx.service):
            if ctx.regions and region not in ctx.regions:
                continue
            for upstream in registry.usable_upstreams(
                ctx.service, region, versions
            ):
                if upstream.instance.id in tried or (
                    region != self._region and upstream.is_cold
                ):
                    continue
                if has_limits and registry.send_wait_s(upstream) > 0.0:
                    limited.append(upstream)
                else:
                    by_region.setdefault(region, []).append(upstream)
        if move_version is not None:
            by_region = _of_version(by_region, move_version) or _of_version(
                by_region, base_version
            )
        first_rejected = placement.NO_CHOICE
        preferred = self._traffic.next_region(
            ctx.service, ctx.object_key, set(by_region)
        )
        regions = sorted(
            by_region,
            key=lambda name: (name != preferred, registry.rtt_s(name)),
        )
        if preferred is not None and self._traffic.is_uneven(ctx.service):
            selected, first_rejected = self._choose_uneven(
                ctx, preferred, by_region, demand, tried
            )
            if selected is not None:
                return selected, first_rejected
            regions = []
        for region in regions:
            selected, choice = self._choose_in_region(
                ctx, region, by_region[region], demand
            )
            if selected is not None and (
                region == preferred
                or ctx.regions
                or self._traffic.acquire_fallback(ctx.service)
            ):
                return selected, choice
            if first_rejected.expected_s == 0.0:
                first_rejected = choice
        if limited and first_rejected.wait_s == 0.0:
            return None, self._limited_choice(limited, demand)
        if not by_region:
            wait_s = registry.shortest_pause_s(ctx.service)
            work_s = demand.cold_work_s
            return None, placement.Choice(None, wait_s + work_s, wait_s, work_s)
        return None, first_rejected

    def _choose_uneven(
        self,
        ctx: request_context.RequestContext,
        preferred: str,
        by_region: dict[str, list[upstream_module.Upstream]],
        demand: placement.Demand,
        tried: set[str],
    ) -> tuple[upstream_module.Upstream | None, placement.Choice]:
        """Selects an upstream of the preferred region or a faster one.

        A request leaves the preferred region if that is expected to miss the
        objective, and another region holds its object and responds sooner.
        """
        registry = self._cluster.registry
        # The owner there was tried, and the next upstream lacks the object.
        tried_regions = {
            registry.region_of(upstream)
            for name in tried
            if (upstream := registry.get(name)) is not None
        }
        selected, choice = self._choose_in_region(
            ctx,
            preferred,
            by_region[preferred],
            demand,
            preferred not in tried_regions,
        )
        is_slow = selected is None or choice.expected_s > demand.objective_s
        best = None
        if is_slow:
            best = self._best_other(
                ctx, preferred, by_region, demand, tried_regions
            )
        margin_s = FALLBACK_MARGIN * ctx.route.objective_s
        should_leave = best is not None and (
            selected is None
            or best[1].expected_s + margin_s < choice.expected_s
        )
        if ctx.regions:
            leaves = should_leave
        else:
            leaves = self._traffic.leaves_region(ctx.service, should_leave)
        if leaves and best is None and not is_slow:
            best = self._best_other(
                ctx, preferred, by_region, demand, tried_regions
            )
        if leaves and best is not None:
            return best
        if selected is None and tried_regions:
            # Late service is better than none.
            return self._choose_in_region(
                ctx, preferred, by_region[preferred], demand
            )
        if selected is None:
            self._traffic.record_refusal(
                ctx.service, preferred, ctx.route.objective_s
            )
        return selected, choice

    def _best_other(
        self,
        ctx: request_context.RequestContext,
        preferred: str,
        by_region: dict[str, list[upstream_module.Upstream]],
        demand: placement.Demand,
        tried_regions: set[str],
    ) -> tuple[upstream_module.Upstream, placement.Choice] | None:
        """Returns the fastest upstream outside the preferred region.

        A region that does not hold the object is left out if the full work
        misses the objective.
        """
        uneven = self._traffic.split_of(ctx.service)
        best = None
        for region, candidates in by_region.items():
            if region == preferred:
                continue
            is_held = not ctx.object_key or (
                uneven.holds_objects(region) and region not in tried_regions
            )
            upstream, choice = self._choose_in_region(
                ctx,
                region,
                # Cold upstreams serve callers of their own region only.
                [u for u in candidates if not u.is_cold],
                demand,
                is_held,
            )
            if upstream is None or (
                not is_held and choice.expected_s > demand.objective_s
            ):
                continue
            if best is None or choice.expected_s < best[1].expected_s:
                best = upstream, choice
        return best

    def is_unreachable(self, ctx: request_context.RequestContext) -> bool:
        """Returns whether all upstreams for a request failed at this VM.

        They are excluded here, and may serve other VMs.

        Args:
            ctx: Context of the request.
        """
        registry = self._cluster.registry
        versions = self._cluster.eligible_versions(ctx.service)
        regions = [
            region
            for region in registry.regions(ctx.service)
            if not ctx.regions or region in ctx.regions
        ]
        return not any(
            True
            for region in regions
            for _ in registry.usable_upstreams(ctx.service, region, versions)
        ) and any(
            registry.has_excluded(ctx.service, region, versions)
            for region in regions
        )

    def _limited_choice(
        self,
        limited: list[upstream_module.Upstream],
        demand: placement.Demand,
    ) -> placement.Choice:
        """Returns when rate limits leave room for a request again."""
        registry = self._cluster.registry
        wait_s = min(registry.send_wait_s(u) for u in limited)
        room_per_s = sum(registry.send_share_per_s(u) for u in limited)
        if room_per_s <= 0.0:
            # Other VMs share the limits; the caller may come back to one.
            room_per_s = sum(
                registry.rate_limits.rate_per_s(u.instance) or 0.0
                for u in limited
            )
            room_per_s = max(room_per_s, MIN_ROOM_PER_S)
            wait_s = 1.0 / room_per_s
        work_s = demand.cold_work_s
        return placement.Choice(
            None, wait_s + work_s, wait_s, work_s, room_per_s=room_per_s
        )

    def _choose_in_region(
        self,
        ctx: request_context.RequestContext,
        region: str,
        candidates: list[upstream_module.Upstream],
        demand: placement.Demand,
        is_held: bool = True,
    ) -> tuple[upstream_module.Upstream | None, placement.Choice]:
        """Selects within a region, skipping cold upstreams without a token."""
        registry = self._cluster.registry
        choice = placement.NO_CHOICE
        rule = self._pressure.admission_rule(ctx, region)
        if rule is not None:
            demand = dataclasses.replace(demand, rule=rule)
        remaining = list(candidates)
        while remaining:
            choice = registry.choose(
                region, remaining, ctx.object_key, demand, is_held
            )
            if choice.id is None:
                return None, choice
            selected = registry.get(choice.id)
            if not selected.is_cold or selected.has_cold_token(
                self._cold_rate_per_s(ctx.service)
            ):
                return selected, choice
            remaining.remove(selected)
        return None, choice

    def _cold_rate_per_s(self, service: str) -> float:
        """Returns this VM's share of the request rate of a cold upstream."""
        service_config = self._cluster.config.services.get(service)
        if service_config is None or service_config.cold_per_s <= 0:
            return 1e9
        return (
            0.9
            * service_config.cold_per_s
            / max(1, self._vm_count(self._region))
        )


def _of_version(
    by_region: dict[str, list[upstream_module.Upstream]], version: str | None
) -> dict[str, list[upstream_module.Upstream]]:
    """Returns the upstreams that run a version, by region."""
    return {
        region: matching
        for region, found in by_region.items()
        if (matching := [u for u in found if u.instance.version == version])
    }

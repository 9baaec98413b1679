"""Demand of this VM and the split of its requests between regions."""

import collections
import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from bramleyworks.gateway import region_report
from bramleyworks.gateway import uneven_service
from bramleyworks.policy import region_plan
from bramleyworks.policy import rendezvous
from bramleyworks.policy import weighted_round_robin

# Time constant of the moving average of demand.
DEMAND_TIME_CONSTANT_S = 1.0
# Fraction of the limit on shifts that is left to requests which find no
# capacity in their assigned region.
FALLBACK_FRACTION = 0.4
# A region whose slots fall below this fraction of the previous count has lost
# capacity.
CAPACITY_LOSS_RATIO = 0.9
# Time after a region was added, was removed or lost capacity during which
# fallbacks are not limited.
UNBOUNDED_FALLBACK_S = 5.0
# Weight of one response in the moving average of a route's work.
WORK_SMOOTHING = 0.05
# Initial estimates of a route's work as fractions of its latency objective,
# with and without the object in the upstream's cache.
INITIAL_WARM_WORK_RATIO = 0.35
INITIAL_COLD_WORK_RATIO = 0.9
# Utilisation of all slots that is assumed until demand has been measured.
INITIAL_UTILISATION = 0.7


@dataclasses.dataclass(slots=True)
class _ServiceTraffic:
    """Measured demand for a service and its shares by region."""

    uneven: uneven_service.UnevenService
    mean_work_s: float | None = None
    pending_work_s: float = 0.0
    demand: float | None = None
    has_requests: bool = False
    requests: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    fallbacks: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    slots: dict[str, float] = dataclasses.field(default_factory=dict)
    capacity_changed_s: float = -math.inf
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    round_robin: weighted_round_robin.WeightedRoundRobin = dataclasses.field(
        default_factory=weighted_round_robin.WeightedRoundRobin
    )


class Traffic:
    """Measures demand and assigns requests to regions."""

    def __init__(
        self, region: str, max_shift: float, clock: Callable[[], float]
    ):
        """Initializes the estimates with no measurements.

        Args:
            region: Region of this VM.
            max_shift: Maximum fraction of a region's requests that may move to
                another region within ``region_plan.SHIFT_WINDOW_S``.
            clock: Monotonic time in seconds.
        """
        self._region = region
        self._max_shift = max_shift
        self._clock = clock
        self._services: dict[str, _ServiceTraffic] = {}
        self._work_s: dict[tuple[str, str, bool], float] = {}
        self._mean_work_s: dict[tuple[str, str], float] = {}
        self._updated_s = clock()

    def configure(self, max_shift: float) -> None:
        """Changes the limit on shifts between regions."""
        self._max_shift = max_shift

    def work_s(
        self, route: str, service: str, objective_s: float, is_warm: bool
    ) -> float:
        """Returns the estimated processing time of a request in seconds.

        Args:
            route: Name of the route.
            service: Name of the service.
            objective_s: Latency objective of the route.
            is_warm: Whether the upstream has the object cached.
        """
        estimate = self._work_s.get((route, service, is_warm))
        if estimate is not None:
            return estimate
        first = INITIAL_WARM_WORK_RATIO if is_warm else INITIAL_COLD_WORK_RATIO
        return first * objective_s

    def record_work(
        self,
        route: str,
        service: str,
        objective_s: float,
        is_warm: bool,
        work_s: float,
    ) -> None:
        """Updates the estimate with the processing time of a request.

        Args:
            route: Name of the route.
            service: Name of the service.
            objective_s: Latency objective of the route.
            is_warm: Whether the upstream had the object cached.
            work_s: Measured processing time.
        """
        estimate = self.work_s(route, service, objective_s, is_warm)
        work_s = min(work_s, 4 * estimate)
        self._work_s[route, service, is_warm] = estimate + WORK_SMOOTHING * (
            work_s - estimate
        )
        mean = self._mean_work_s.get((route, service), estimate)
        self._mean_work_s[route, service] = mean + WORK_SMOOTHING * (
            work_s - mean
        )

    def work_ms(self) -> dict[str, int]:
        """Returns the estimates in ms by route, service and kind, for logs."""
        return {
            f"{route} {service} {'held' if is_warm else 'other'}": round(
                1000 * work_s
            )
            for (route, service, is_warm), work_s in self._work_s.items()
        }

    def record_request(
        self, route: str, service: str, objective_s: float
    ) -> None:
        """Adds a caller's request to the demand."""
        work_s = self._mean_work_s.get((route, service))
        if work_s is None:
            work_s = self.work_s(route, service, objective_s, True)
        state = self._service(service)
        state.pending_work_s += work_s
        mean_s = work_s if state.mean_work_s is None else state.mean_work_s
        state.mean_work_s = mean_s + WORK_SMOOTHING * (work_s - mean_s)
        state.has_requests = True
        now_s = self._clock()
        if not state.uneven.is_in_effect:
            # Counted, and dropped, where single requests fall back.
            state.requests.append(now_s)
        state.uneven.record_request(now_s, objective_s)

    def mean_work_s(self, service: str) -> float:
        """Returns the mean processing time of a service's requests in seconds.

        Infinity before its first request.
        """
        mean_s = self._service(service).mean_work_s
        return math.inf if mean_s is None else mean_s

    def demand(self) -> dict[str, float]:
        """Returns by service how many slots this VM's requests need."""
        return {
            name: round(state.demand, 3)
            for name, state in self._services.items()
            if state.demand is not None
        }

    def record_attempt(
        self,
        service: str,
        region: str,
        objective_s: float,
        latency_s: float,
        work_s: float,
    ) -> None:
        """Records how long a request took in the region where it ran.

        Args:
            service: Name of the service.
            region: Region of the upstream.
            objective_s: Latency objective of the route.
            latency_s: Time that it took without the round trip.
            work_s: The part of it that was not waiting.
        """
        self._service(service).uneven.record_attempt(
            self._clock(), region, objective_s, latency_s, work_s
        )

    def record_refusal(
        self, service: str, region: str, objective_s: float
    ) -> None:
        """Records a request that a region had no capacity for."""
        self._service(service).uneven.record_refusal(
            self._clock(), region, objective_s
        )

    def region_reports(self) -> dict[str, region_report.RegionReport]:
        """Returns by service what to tell other VMs for the uneven plan."""
        now_s = self._clock()
        reports = {
            name: state.uneven.report(now_s, state.shares)
            for name, state in self._services.items()
        }
        return {
            name: report
            for name, report in reports.items()
            if report is not None
        }

    def update(
        self,
        services: Iterable[str],
        peer_demand: Callable[[str], Mapping[str, float]],
        capacity: Callable[[str], Mapping[str, float]],
        vm_count: int,
        fleet: Callable[[str, Mapping[str, float]], uneven_service.Fleet]
        | None = None,
    ) -> None:
        """Updates demand and the shares of regions.

        Args:
            services: Names of the services that have routes.
            peer_demand: Returns the demand for a service by region, without
                that of this VM.
            capacity: Returns the usable slots for a service by region.
            vm_count: VMs that are live or registered.
            fleet: Returns what is known of the fleet for a service with some
                slots by region, None if regions count as even.
        """
        now_s = self._clock()
        elapsed_s = max(1e-3, now_s - self._updated_s)
        self._updated_s = now_s
        smoothing = min(1.0, elapsed_s / DEMAND_TIME_CONSTANT_S)
        step = (
            self._max_shift
            * region_plan.SHIFT_FRACTION
            * elapsed_s
            / region_plan.SHIFT_WINDOW_S
        )
        services = frozenset(services)
        for name in self._services.keys() - services:
            self._services[name].uneven.reset()
        for name in services:
            state = self._service(name)
            usable = dict(capacity(name))
            if set(usable) != set(state.slots) or any(
                slots < CAPACITY_LOSS_RATIO * state.slots[region]
                for region, slots in usable.items()
            ):
                state.capacity_changed_s = now_s
            state.slots = usable
            self._update_demand(
                state, elapsed_s, smoothing, sum(usable.values()), vm_count
            )
            known = fleet(name, usable) if fleet else None
            if known is not None and state.uneven.update(known):
                state.shares = state.uneven.split(
                    now_s, elapsed_s, known, state.shares, self._max_shift
                )
                continue
            demand = dict(peer_demand(name))
            own = demand.get(self._region, 0.0)
            demand[self._region] = own + (state.demand or 0.0)
            target = region_plan.plan(self._region, demand, usable)
            if target and state.has_requests:
                state.shares = region_plan.ramp(state.shares, target, step)
            elif target:
                state.shares = target

    def _update_demand(
        self,
        state: _ServiceTraffic,
        elapsed_s: float,
        smoothing: float,
        slots: float,
        vm_count: int,
    ) -> None:
        """Updates the demand for a service."""
        if not state.has_requests:
            # Until the first request all VMs assume equal demand.
            state.demand = INITIAL_UTILISATION * slots / max(1, vm_count)
            return
        rate = state.pending_work_s / elapsed_s
        state.pending_work_s = 0.0
        estimate = state.demand or 0.0
        state.demand = estimate + smoothing * (rate - estimate)

    def shares(self, service: str) -> dict[str, float]:
        """Returns the fraction of requests for each region."""
        return dict(self._service(service).shares)

    def next_region(
        self, service: str, object_key: str, allowed: set[str]
    ) -> str | None:
        """Returns the region for a request, None if there is none.

        Requests for one object go to the same region, where an upstream has it
        cached. A change of the shares reassigns as few objects as possible.

        Args:
            service: Name of the service.
            object_key: Key of the requested object, empty for none.
            allowed: Regions that have usable upstreams and may serve it.
        """
        state = self._service(service)
        if not state.shares:
            state.shares = {self._region: 1.0}
        if object_key:
            return rendezvous.pick(
                object_key,
                {n: s for n, s in state.shares.items() if n in allowed},
            )
        return state.round_robin.next(state.shares, allowed)

    def is_uneven(self, service: str) -> bool:
        """Returns whether the plan for uneven regions is in effect."""
        return self._service(service).uneven.is_in_effect

    def split_of(self, service: str) -> uneven_service.UnevenService:
        """Returns the split of a service's requests by the uneven plan."""
        return self._service(service).uneven

    def uneven_splits(self) -> dict[str, uneven_service.UnevenService]:
        """Returns the splits of the services that have the uneven plan."""
        return {
            name: state.uneven
            for name, state in self._services.items()
            if state.uneven.is_in_effect
        }

    def uneven_summary(self) -> dict[str, dict[str, object]]:
        """Returns what decided the shares of these services, for logs."""
        return {
            name: uneven.summary()
            for name, uneven in self.uneven_splits().items()
        }

    def leaves_region(self, service: str, should_leave: bool) -> bool:
        """Returns whether a request leaves the region it is assigned to.

        Only for services with the uneven plan.

        Args:
            service: Name of the service.
            should_leave: Whether another region is expected to serve it
                clearly better.
        """
        state = self._service(service)
        now_s = self._clock()
        return state.uneven.leaves(
            now_s,
            should_leave,
            self._max_shift,
            now_s - state.capacity_changed_s <= UNBOUNDED_FALLBACK_S,
        )

    def acquire_fallback(self, service: str) -> bool:
        """Counts a fallback to another region and returns True if allowed.

        Without a limit, all requests to a full region would fall back at once
        and exceed the allowed shift. Right after a loss of capacity they may.
        """
        state = self._service(service)
        now_s = self._clock()
        for times in (state.requests, state.fallbacks):
            while times and times[0] < now_s - region_plan.SHIFT_WINDOW_S:
                times.popleft()
        if now_s - state.capacity_changed_s > UNBOUNDED_FALLBACK_S:
            allowance = (
                self._max_shift * FALLBACK_FRACTION * len(state.requests)
            )
            if len(state.fallbacks) + 1 > allowance:
                return False
        state.fallbacks.append(now_s)
        return True

    def _service(self, name: str) -> _ServiceTraffic:
        state = self._services.get(name)
        if state is None:
            state = self._services[name] = _ServiceTraffic(
                uneven_service.UnevenService(self._region)
            )
        return state

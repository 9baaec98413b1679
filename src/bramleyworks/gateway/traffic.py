"""Where the requests of this VM run, by region, and what they ask for."""

import collections
import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from bramleyworks.policy import region_plan
from bramleyworks.policy import rendezvous
from bramleyworks.policy import weighted_round_robin

# Time constant of the measured demand.
DEMAND_TIME_CONSTANT_S = 1.0
# Window over which a shift between regions is bounded.
SHIFT_WINDOW_S = 2.0
# Part of the bound that the plan uses; the rest is for the scatter of the
# requests of one window.
SHIFT_FRACTION = 0.5
# Part of the bound on shifts that requests may use which find no room in the
# region they belong to.
FALLBACK_FRACTION = 0.4
# Part of a region's slots below which a loss counts as such a change.
CAPACITY_LOSS_RATIO = 0.9
# Time after a change of a region's upstreams in which they are not bounded.
UNBOUNDED_FALLBACK_S = 5.0
# Weight of one answer in the estimate of a route's work.
WORK_SMOOTHING = 0.05
# Work to assume for a route, as parts of its objective, until it is known: on
# an upstream that holds the object, and on another one.
INITIAL_WARM_WORK_RATIO = 0.35
INITIAL_COLD_WORK_RATIO = 0.9
# Use of all slots to assume until demand has been measured.
INITIAL_UTILISATION = 0.7


@dataclasses.dataclass(slots=True)
class _ServiceTraffic:
    """Measured demand for one service, and the plan in force."""

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
    turn: weighted_round_robin.WeightedRoundRobin = dataclasses.field(
        default_factory=weighted_round_robin.WeightedRoundRobin
    )


class Traffic:
    """Measures demand and plans the regions that requests go to."""

    def __init__(
        self, region: str, max_shift: float, clock: Callable[[], float]
    ):
        """Starts without measurements.

        Args:
            region: Region of this VM.
            max_shift: Part of a region's requests that may change the region
                in which they run within ``SHIFT_WINDOW_S``.
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
        """Changes the bound on shifts between regions."""
        self._max_shift = max_shift

    def work_s(
        self, route: str, service: str, objective_s: float, is_warm: bool
    ) -> float:
        """Returns the time that an upstream works on a request.

        Args:
            route: Name of the route.
            service: Service of the upstream.
            objective_s: Latency objective of the route.
            is_warm: Whether the upstream holds the object.
        """
        known = self._work_s.get((route, service, is_warm))
        if known is not None:
            return known
        first = INITIAL_WARM_WORK_RATIO if is_warm else INITIAL_COLD_WORK_RATIO
        return first * objective_s

    def record_work(
        self,
        route: str,
        service: str,
        objective_s: float,
        is_warm: bool,
        took_s: float,
    ) -> None:
        """Takes the time that an upstream worked on a request."""
        known = self.work_s(route, service, objective_s, is_warm)
        took_s = min(took_s, 4 * known)
        self._work_s[route, service, is_warm] = known + WORK_SMOOTHING * (
            took_s - known
        )
        mean = self._mean_work_s.get((route, service), known)
        self._mean_work_s[route, service] = mean + WORK_SMOOTHING * (
            took_s - mean
        )

    def work_ms(self) -> dict[str, int]:
        """Returns the learned work by route, service and kind, for logs."""
        return {
            f"{route} {service} {'held' if is_warm else 'other'}": round(
                1000 * work_s
            )
            for (route, service, is_warm), work_s in self._work_s.items()
        }

    def record_request(
        self, route: str, service: str, objective_s: float
    ) -> None:
        """Counts a caller's request."""
        work_s = self._mean_work_s.get((route, service))
        if work_s is None:
            work_s = self.work_s(route, service, objective_s, True)
        state = self._service(service)
        state.pending_work_s += work_s
        state.has_requests = True
        state.requests.append(self._clock())

    def demand(self) -> dict[str, float]:
        """Returns the slots that this VM's requests would fill."""
        return {
            name: round(state.demand, 3)
            for name, state in self._services.items()
            if state.demand is not None
        }

    def update(
        self,
        services: Iterable[str],
        peer_demand: Callable[[str], Mapping[str, float]],
        capacity: Callable[[str], Mapping[str, float]],
        vm_count: int,
    ) -> None:
        """Measures demand and moves the plan on.

        Args:
            services: Services that have routes.
            peer_demand: Returns the demand of each region for a service,
                without that of this VM.
            capacity: Returns the usable slots of each region for a service.
            vm_count: VMs that are live or registered.
        """
        now_s = self._clock()
        passed_s = max(1e-3, now_s - self._updated_s)
        self._updated_s = now_s
        part = min(1.0, passed_s / DEMAND_TIME_CONSTANT_S)
        step = self._max_shift * SHIFT_FRACTION * passed_s / SHIFT_WINDOW_S
        for name in services:
            state = self._service(name)
            room = dict(capacity(name))
            if set(room) != set(state.slots) or any(
                slots < CAPACITY_LOSS_RATIO * state.slots[region]
                for region, slots in room.items()
            ):
                state.capacity_changed_s = now_s
            state.slots = room
            self._update_demand(
                state, passed_s, part, sum(room.values()), vm_count
            )
            demand = dict(peer_demand(name))
            own = demand.get(self._region, 0.0)
            demand[self._region] = own + (state.demand or 0.0)
            target = region_plan.plan(self._region, demand, room)
            if target and state.has_requests:
                state.shares = region_plan.ramp(state.shares, target, step)
            elif target:
                state.shares = target

    def _update_demand(
        self,
        state: _ServiceTraffic,
        passed_s: float,
        smoothing: float,
        slots: float,
        vm_count: int,
    ) -> None:
        """Updates the demand of one service."""
        if not state.has_requests:
            # Before the first request all VMs assume the same.
            state.demand = INITIAL_UTILISATION * slots / max(1, vm_count)
            return
        rate = state.pending_work_s / passed_s
        state.pending_work_s = 0.0
        known = state.demand or 0.0
        state.demand = known + smoothing * (rate - known)

    def shares(self, service: str) -> dict[str, float]:
        """Returns the parts of the requests that go to each region."""
        return dict(self._service(service).shares)

    def next_region(
        self, service: str, object_key: str, allowed: set[str]
    ) -> str | None:
        """Returns the region for a request.

        Requests about one object go to the same region, since an upstream
        there holds it; a change of the shares moves as few objects as it can.

        Args:
            service: Service of the request.
            object_key: Object of the request, empty for none.
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
        return state.turn.next(state.shares, allowed)

    def acquire_fallback(self, service: str) -> bool:
        """Returns whether a request may leave the region it belongs to.

        It counts as used if so. Requests that find no room would move to other
        regions all at once when a region is full, and shift more than is
        allowed; right after a loss of upstreams they may.
        """
        state = self._service(service)
        now_s = self._clock()
        for times in (state.requests, state.fallbacks):
            while times and times[0] < now_s - SHIFT_WINDOW_S:
                times.popleft()
        if now_s - state.capacity_changed_s > UNBOUNDED_FALLBACK_S:
            room = self._max_shift * FALLBACK_FRACTION * len(state.requests)
            if len(state.fallbacks) + 1 > room:
                return False
        state.fallbacks.append(now_s)
        return True

    def _service(self, name: str) -> _ServiceTraffic:
        state = self._services.get(name)
        if state is None:
            state = self._services[name] = _ServiceTraffic()
        return state

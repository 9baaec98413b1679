"""Measures the pressure on services, pooled over the VMs of a region."""

import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from bramleyworks.gateway import request_context
from bramleyworks.policy import load_shedding

# Time constant of the counts that pressure is computed from.
PRESSURE_TIME_CONSTANT_S = 2.0
# The same for routes and organisations; an organisation sends one request in
# some seconds to each VM of a large fleet.
SERVED_TIME_CONSTANT_S = 20.0
# Weight of one request in the moving averages of work and slack.
SMOOTHING = 0.05
# Time for which the largest time left of a route's requests is remembered.
FIRST_ATTEMPT_MEMORY_S = 30.0
# Least difference to the time left of first attempts by which a retry is
# recognised, the shortest Retry-After.
MIN_RETRY_AGE_S = 0.02
# Most of a caller's time that has passed at a retry: it waits for a third of
# it at most. A smaller time left belongs to a caller with another deadline.
MAX_RETRY_AGE_RATIO = 0.4
# Counts below this are dropped.
MIN_COUNT = 0.01
# Unit of requests in reports.
REPORTED_PER_REQUEST = 10

# Recent requests and refused ones in tenths, and the share of busy slots in
# thousandths.
Report = tuple[int, int, int]


class _DecayingCount:
    """Requests and refused ones, decaying with time."""

    def __init__(self, time_constant_s: float):
        self._time_constant_s = time_constant_s
        self._requests = 0.0
        self._refused = 0.0
        self._at_s = 0.0

    def add(self, requests: float, refused: float, now_s: float) -> None:
        served = self.at(now_s)
        self._requests = served.requests + requests
        self._refused = min(self._requests, served.refused + refused)
        self._at_s = now_s

    def at(self, now_s: float) -> load_shedding.Served:
        factor = math.exp((self._at_s - now_s) / self._time_constant_s)
        return load_shedding.Served(
            self._requests * factor, self._refused * factor
        )


@dataclasses.dataclass(slots=True)
class _Route:
    """Recent requests of a route to one service, with moving averages."""

    priority: int
    slack_s: float
    work_s: float
    served: _DecayingCount = dataclasses.field(
        default_factory=lambda: _DecayingCount(SERVED_TIME_CONSTANT_S)
    )


@dataclasses.dataclass(slots=True)
class _Service:
    """Recent requests to a service."""

    recent: _DecayingCount = dataclasses.field(
        default_factory=lambda: _DecayingCount(PRESSURE_TIME_CONSTANT_S)
    )
    served: _DecayingCount = dataclasses.field(
        default_factory=lambda: _DecayingCount(SERVED_TIME_CONSTANT_S)
    )
    routes: dict[str, _Route] = dataclasses.field(default_factory=dict)
    busy_share: float = 0.0


class ServicePressure:
    """This VM's view of the pressure on services."""

    def __init__(
        self,
        region: str,
        record_refusal: Callable[[str, int], None],
        clock: Callable[[], float],
    ):
        """Initializes without measurements.

        Args:
            region: Region of this VM.
            record_refusal: Records route and rank of a refused request.
            clock: Monotonic time in seconds.
        """
        self._region = region
        self._record_refusal = record_refusal
        self._clock = clock
        self._services: dict[str, _Service] = {}
        self._organisations: dict[str, _DecayingCount] = {}
        self._all = _DecayingCount(SERVED_TIME_CONSTANT_S)
        # Largest time left of a route's requests, and when it was seen.
        self._first_left_s: dict[str, tuple[float, float]] = {}
        # Services for which the rule may take effect.
        self._in_effect: frozenset[str] = frozenset()
        # Pressure on services by region, while the rule is in effect.
        self._pressures: dict[tuple[str, str], float] = {}
        # Random, so that the callers of several VMs return at different times.
        self._refusals = random.randrange(1 << 16)

    def record(
        self,
        ctx: request_context.RequestContext,
        work_s: float,
        refused: bool,
        rank: int | None,
    ) -> None:
        """Records the decision about a request.

        Args:
            ctx: Context of the request.
            work_s: Its expected work in seconds.
            refused: Whether it was refused for lack of capacity.
            rank: Its rank, None without pressure.
        """
        if ctx.service not in self._in_effect:
            return
        if refused and rank is not None:
            self._record_refusal(ctx.route.name, rank)
        now_s = self._clock()
        service = self._services.setdefault(ctx.service, _Service())
        slack_s = ctx.route.objective_s - work_s
        route = service.routes.get(ctx.route.name)
        if route is None:
            route = _Route(ctx.route.priority, slack_s, work_s)
            service.routes[ctx.route.name] = route
        route.priority = ctx.route.priority
        route.slack_s += SMOOTHING * (slack_s - route.slack_s)
        route.work_s += SMOOTHING * (work_s - route.work_s)
        counts = [service.recent, service.served, route.served, self._all]
        if ctx.organisation is not None:
            counts.append(
                self._organisations.setdefault(
                    ctx.organisation.name,
                    _DecayingCount(SERVED_TIME_CONSTANT_S),
                )
            )
        for count in counts:
            count.add(1.0, float(refused), now_s)

    def record_shed(self, ctx: request_context.RequestContext) -> None:
        """Records that upstreams shed a request that was recorded as sent."""
        if ctx.service not in self._in_effect:
            return
        now_s = self._clock()
        service = self._services.setdefault(ctx.service, _Service())
        counts = [service.recent, service.served, self._all]
        route = service.routes.get(ctx.route.name)
        if route is not None:
            counts.append(route.served)
        if ctx.organisation is not None:
            counts.append(
                self._organisations.setdefault(
                    ctx.organisation.name,
                    _DecayingCount(SERVED_TIME_CONSTANT_S),
                )
            )
        for count in counts:
            count.add(0.0, 1.0, now_s)

    def retry_age_s(self, ctx: request_context.RequestContext) -> float:
        """Returns the seconds since the first attempt of a request's caller.

        Args:
            ctx: Context of the request.

        Returns:
            0 for a first attempt.
        """
        now_s = self._clock()
        received_s = ctx.objective_s - ctx.route.objective_s
        left_s = ctx.client_deadline_s - received_s
        largest_s, seen_s = self._first_left_s.get(
            ctx.route.name, (0.0, -math.inf)
        )
        if left_s >= largest_s or now_s - seen_s > FIRST_ATTEMPT_MEMORY_S:
            self._first_left_s[ctx.route.name] = left_s, now_s
            return 0.0
        age_s = largest_s - left_s
        if MIN_RETRY_AGE_S <= age_s <= MAX_RETRY_AGE_RATIO * largest_s:
            return age_s
        return 0.0

    def admission_rule(
        self, ctx: request_context.RequestContext, region: str
    ) -> load_shedding.AdmissionRule | None:
        """Returns what decides about a request, None without pressure.

        Args:
            ctx: Context of the request.
            region: Region of the upstreams that it may be sent to.
        """
        age_s = self.retry_age_s(ctx)
        value = self._pressures.get((ctx.service, region))
        service = self._services.get(ctx.service)
        if value is None or service is None:
            return None
        now_s = self._clock()
        loads = [
            load_shedding.RouteLoad(
                name, r.priority, r.served.at(now_s), r.slack_s
            )
            for name, r in service.routes.items()
        ]
        limit_s, is_behind, must_yield = load_shedding.compare_routes(
            ctx.route.name, loads
        )
        is_underserved = is_behind or any(
            load.name == ctx.route.name
            and load_shedding.is_underserved(
                load.served, service.served.at(now_s)
            )
            for load in loads
        )
        if ctx.organisation is not None:
            count = self._organisations.get(ctx.organisation.name)
            is_underserved |= (
                count is not None
                and load_shedding.is_underserved(
                    count.at(now_s), self._all.at(now_s)
                )
            )
        works = [
            (r.served.at(now_s).requests, r.work_s)
            for r in service.routes.values()
        ]
        requests = sum(weight for weight, _ in works)
        return load_shedding.AdmissionRule(
            pressure=value,
            priority=load_shedding.relative_priority(ctx.priority, loads),
            age_s=age_s,
            mean_work_s=sum(w * s for w, s in works) / max(requests, 1e-9),
            # The slack of a route is not known before its first request here.
            limit_s=min(limit_s, ctx.route.objective_s),
            is_underserved=is_underserved,
            must_yield=must_yield,
        )

    def return_wait_s(
        self, wait_s: float, in_time_s: float, max_wait_s: float
    ) -> float:
        """Returns when the next refused caller should return.

        Args:
            wait_s: Seconds until room is expected.
            in_time_s: Seconds until a retry has to start to meet its
                objective.
            max_wait_s: Longest wait that the caller will honour.
        """
        self._refusals += 1
        return load_shedding.return_wait_s(
            self._refusals, wait_s, in_time_s, max_wait_s
        )

    def reports(self) -> dict[str, Report]:
        """Returns this VM's figures by service for its peers."""
        now_s = self._clock()
        found = {}
        for name, service in self._services.items():
            served = service.recent.at(now_s)
            if name in self._in_effect and served.requests >= MIN_COUNT:
                found[name] = _report(served, service.busy_share)
        return found

    def update(
        self,
        busy_shares: Mapping[str, float],
        peers: Iterable[tuple[str, Mapping[str, Report]]],
    ) -> None:
        """Updates the pressure from the figures of all VMs.

        Args:
            busy_shares: Share of busy slots in this region, by service for
                which the rule may take effect.
            peers: Region and reports of each live peer, or of each region
                that has a summary.
        """
        for name, share in busy_shares.items():
            self._services.setdefault(name, _Service()).busy_share = share
        self._in_effect = frozenset(busy_shares)
        by_region: dict[str, list[Mapping[str, Report]]] = {}
        for region, reports in [(self._region, self.reports()), *peers]:
            by_region.setdefault(region, []).append(reports)
        pressures = {}
        for region, reports in by_region.items():
            for name, report in pool(reports).items():
                if name not in self._in_effect:
                    continue
                value = load_shedding.pressure(
                    report[2] / 1000,
                    load_shedding.Served(float(report[0]), float(report[1])),
                )
                key = (name, region)
                if load_shedding.is_under_pressure(
                    key in self._pressures, value
                ):
                    pressures[key] = value
        self._pressures = pressures
        self._evict()

    def pressures(self) -> dict[str, float]:
        """Returns the pressure on services in this region, without zeros."""
        return {
            name: round(value, 2)
            for (name, region), value in self._pressures.items()
            if region == self._region
        }

    def _evict(self) -> None:
        """Evicts routes and organisations without recent requests."""
        now_s = self._clock()
        for service in self._services.values():
            service.routes = {
                name: route
                for name, route in service.routes.items()
                if route.served.at(now_s).requests >= MIN_COUNT
            }
        self._organisations = {
            name: count
            for name, count in self._organisations.items()
            if count.at(now_s).requests >= MIN_COUNT
        }


def pool(reports: Iterable[Mapping[str, Report]]) -> dict[str, Report]:
    """Returns the figures of several VMs as those of one, by service."""
    totals: dict[str, list[float]] = {}
    for report in reports:
        for name, (requests, refused, busy) in report.items():
            total = totals.setdefault(name, [0, 0, 0])
            total[0] += requests
            total[1] += refused
            total[2] += requests * busy
    return {
        name: (requests, refused, round(weighted / max(1, requests)))
        for name, (requests, refused, weighted) in totals.items()
    }


def _report(served: load_shedding.Served, busy_share: float) -> Report:
    return (
        round(REPORTED_PER_REQUEST * served.requests),
        round(REPORTED_PER_REQUEST * served.refused),
        round(1000 * busy_share),
    )

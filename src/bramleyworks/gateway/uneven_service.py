"""Split of one service's requests where regions are uneven."""

import dataclasses
import math
import random
from collections.abc import Mapping

from bramleyworks.gateway import region_report
from bramleyworks.policy import fallback_limit
from bramleyworks.policy import region_plan
from bramleyworks.policy import uneven_plan

# Limit on a refused or late request in the measured latency, in objectives. A
# refusal counts as much, and a few very late responses decide nothing.
MAX_LATENCY_OBJECTIVES = 2.0
# Requests with the expected work that every measured mean includes, so that a
# region without measurements is neither bad nor better than one that serves.
PRIOR_REQUESTS = 2.0
PRIOR_LATENCY_OBJECTIVES = 0.35
# Objective that is assumed before the first request.
DEFAULT_OBJECTIVE_S = 0.5
# Slots in use that are assumed until requests have been measured.
INITIAL_UTILISATION = 0.7
# Part of the difference to the other VMs' mean local share that a VM makes up
# per second. Without it, VMs that started at different times would keep
# different shares and send an object to different regions.
AGREEMENT_PER_S = 0.5
# Time after its first request within which a VM takes the share of the others
# of its region in one step.
ADOPTION_S = 3.0
# Time in which a VM that hears of no other region returns to local service.
RETURN_S = 10.0
# Fraction of ``max_shift`` that shares may move in 2 s during the return. All
# VMs of a region that is cut off return together.
MAX_RETURN_FRACTION = 0.9
# Fraction of the limit on shifts by which the share of fallbacks may change.
FALLBACK_FRACTION = 0.4
# Local share from which on a region is assumed to hold its callers' objects.
HOLDING_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What a VM knows of the fleet for one service.

    Attributes:
        vms: Number of known VMs by region.
        has_other_regions: Whether heartbeats of other regions come in.
        reports: Measurements of other VMs by their region.
        demand: Slots that other VMs need by region, also of earlier builds.
        slots: Usable slots by region.
        rtt_s: Round trip to each region that has slots in seconds.
    """

    vms: Mapping[str, int]
    has_other_regions: bool
    reports: Mapping[str, region_report.RegionReport]
    demand: Mapping[str, float]
    slots: Mapping[str, float]
    rtt_s: Mapping[str, float]


class UnevenService:
    """Measures one service by region and splits its requests."""

    def __init__(self, region: str):
        """Initializes the state with no measurements.

        Args:
            region: Region of this VM.
        """
        self._region = region
        self._measurements = region_report.Measurements()
        self._short: frozenset[str] = frozenset()
        self._figures: dict[str, uneven_plan.Figures] = {}
        self._first_request_s = math.inf
        self._has_adopted = False
        self._returns_from: float | None = None
        self._had_other_regions = False
        self._limit = fallback_limit.FallbackLimit()

    @property
    def is_in_effect(self) -> bool:
        """Whether some region is short of slots."""
        return bool(self._short)

    def record_request(self, now_s: float, objective_s: float) -> None:
        """Counts a caller's request."""
        self._first_request_s = min(self._first_request_s, now_s)
        self._measurements.record_request(now_s, objective_s)

    def record_attempt(
        self,
        now_s: float,
        region: str,
        objective_s: float,
        latency_s: float,
        work_s: float,
    ) -> None:
        """Records how long a request took in the region where it ran."""
        limit_s = MAX_LATENCY_OBJECTIVES * objective_s
        self._measurements.record_run(
            now_s, region, min(latency_s, limit_s), min(work_s, limit_s)
        )

    def record_refusal(
        self, now_s: float, region: str, objective_s: float
    ) -> None:
        """Records a request that a region had no capacity for."""
        self._measurements.record_run(
            now_s,
            region,
            MAX_LATENCY_OBJECTIVES * objective_s,
            PRIOR_LATENCY_OBJECTIVES * objective_s,
        )

    def report(
        self, now_s: float, shares: Mapping[str, float]
    ) -> region_report.RegionReport | None:
        """Returns what to tell other VMs, None if there is nothing."""
        if not self._short:
            return None
        return self._measurements.report(now_s, shares.get(self._region, 0.0))

    def update(self, fleet: Fleet) -> bool:
        """Returns whether some region is short of slots, by new figures."""
        known = self._short
        if not known and fleet.reports:
            # Other VMs have the plan in effect, and VMs have to agree.
            known = frozenset(fleet.vms)
        self._short = uneven_plan.short_regions(fleet.slots, fleet.vms, known)
        return bool(self._short)

    def reset(self) -> None:
        """Ends the plan for a service without routes."""
        self._short = frozenset()

    def split(
        self,
        now_s: float,
        elapsed_s: float,
        fleet: Fleet,
        shares: Mapping[str, float],
        max_shift: float,
    ) -> dict[str, float]:
        """Returns the next shares of regions.

        Args:
            now_s: Monotonic time in seconds.
            elapsed_s: Time since the last shares in seconds.
            fleet: What is known of the fleet.
            shares: Shares that are in effect, empty at the start.
            max_shift: Largest change of the shares within 2 s.
        """
        step = max_shift * elapsed_s / region_plan.SHIFT_WINDOW_S
        if not fleet.has_other_regions and self._had_other_regions:
            return self._return(elapsed_s, fleet, shares, step)
        self._had_other_regions = fleet.has_other_regions
        self._returns_from = None
        own = self._measurements.report(now_s, shares.get(self._region, 0.0))
        self._figures = self._pool(fleet, own)
        known = fleet.reports.get(self._region)
        agreed = known.local_share if known and known.rate else None
        local = shares.get(self._region, 0.0) if shares else None
        is_new = now_s - self._first_request_s < ADOPTION_S or own is None
        may_jump = own is None or (
            is_new and agreed is not None and not self._has_adopted
        )
        if agreed is not None:
            self._has_adopted = self._has_adopted or own is not None
            if may_jump or local is None:
                local = agreed
            else:
                local += min(1.0, AGREEMENT_PER_S * elapsed_s) * (
                    agreed - local
                )
        elif own is None:
            local = None
        target = uneven_plan.plan(
            self._region,
            self._figures,
            self._short,
            self._objective_s(),
            local,
            elapsed_s,
        )
        if not target:
            return dict(shares)
        if may_jump:
            return target
        return region_plan.ramp(
            shares, target, step * region_plan.SHIFT_FRACTION
        )

    def _return(
        self,
        elapsed_s: float,
        fleet: Fleet,
        shares: Mapping[str, float],
        step: float,
    ) -> dict[str, float]:
        """Returns the shares on the way back to local service."""
        if fleet.slots.get(self._region, 0.0) <= 0.0:
            return dict(shares)
        if self._returns_from is None:
            self._returns_from = 1.0 - shares.get(self._region, 0.0)
        return region_plan.ramp(
            shares,
            {self._region: 1.0},
            min(
                self._returns_from * elapsed_s / RETURN_S,
                MAX_RETURN_FRACTION * step,
            ),
        )

    def _objective_s(self) -> float:
        return self._measurements.objective_s or DEFAULT_OBJECTIVE_S

    def _pool(
        self, fleet: Fleet, own: region_report.RegionReport | None
    ) -> dict[str, uneven_plan.Figures]:
        """Returns the figures of each region, from all VMs."""
        reports = dict(fleet.reports)
        if own is not None:
            peers = reports.get(self._region)
            reports[self._region] = region_report.merge(
                [own] if peers is None else [own, peers]
            )
        sums = region_report.run_sums(reports.values())
        prior_s = PRIOR_LATENCY_OBJECTIVES * self._objective_s()
        prior = region_report.RunSums(
            PRIOR_REQUESTS, PRIOR_REQUESTS * prior_s, PRIOR_REQUESTS * prior_s
        )
        figures = {}
        for name in {*fleet.slots, *fleet.vms}:
            ran = sums.get(name, region_report.RunSums()) + prior
            report = reports.get(name)
            figures[name] = uneven_plan.Figures(
                slots=fleet.slots.get(name, 0.0),
                demand=self._demand(
                    name, fleet, reports, ran.work_s / ran.count
                ),
                latency_s=ran.latency_s / ran.count
                + fleet.rtt_s.get(name, 0.0),
                local_share=report.local_share
                if report is not None and report.rate
                else 1.0,
            )
        return figures

    def _demand(
        self,
        region: str,
        fleet: Fleet,
        reports: Mapping[str, region_report.RegionReport],
        work_s: float,
    ) -> float:
        """Returns the slots that the requests of a region's callers need.

        VMs without a report count as the others of their region, else as those
        of all regions.
        """
        vms = fleet.vms.get(region, 0)
        report = reports.get(region)
        if report is None and fleet.demand.get(region, 0.0) > 0.0:
            # VMs of earlier builds tell slots only.
            return fleet.demand[region]
        found = [report] if report is not None else list(reports.values())
        rate_per_s = sum(r.rate_per_s for r in found)
        if rate_per_s > 0.0:
            return rate_per_s / sum(r.vms for r in found) * vms * work_s
        if report is not None:
            return 0.0
        total_vms = max(1, sum(fleet.vms.values()))
        slots = sum(fleet.slots.values())
        return INITIAL_UTILISATION * slots * vms / total_vms

    def holds_objects(self, region: str) -> bool:
        """Returns whether a region holds objects that are not assigned to it.

        Its callers request the same objects as those of this region.
        """
        known = self._figures.get(region)
        return (
            region != self._region
            and region not in self._short
            and known is not None
            and known.local_share >= HOLDING_SHARE
        )

    def leaves(
        self,
        now_s: float,
        should_leave: bool,
        max_shift: float,
        is_unlimited: bool,
    ) -> bool:
        """Returns whether a request leaves the region it is assigned to.

        Args:
            now_s: Monotonic time in seconds.
            should_leave: Whether another region is expected to serve it
                clearly better.
            max_shift: Largest change of the shares within 2 s.
            is_unlimited: Whether the region lost capacity a moment ago.
        """
        if should_leave and is_unlimited:
            self._limit.raise_share(now_s)
            return True
        change = FALLBACK_FRACTION * max_shift
        return self._limit.leaves(
            now_s,
            should_leave,
            change / region_plan.SHIFT_WINDOW_S,
            change,
            random.random(),
        )

    @property
    def fallback_share(self) -> float:
        """Share of the requests that may leave their region."""
        return self._limit.share

    def latencies_s(self) -> dict[str, float]:
        """Returns the pooled latency of each region with the round trip."""
        return {name: f.latency_s for name, f in self._figures.items()}

    def summary(self) -> dict[str, object]:
        """Returns what decided the shares, for logs.

        ``regions`` has, for each region, latency in ms with the round trip,
        demand and usable slots, and the local share of its callers' requests.
        """
        return {
            "short": sorted(self._short),
            "fallback": round(self._limit.share, 3),
            "returning": self._returns_from is not None,
            "regions": {
                name: [
                    round(1000 * known.latency_s),
                    round(known.demand, 1),
                    round(known.slots, 1),
                    round(known.local_share, 3),
                ]
                for name, known in self._figures.items()
            },
        }

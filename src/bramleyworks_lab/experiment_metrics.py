"""The figures of one experiment."""

import asyncio
import statistics

from bramleyworks_lab import deployment
from bramleyworks_lab import model_upstream
from bramleyworks_lab import model_world
from bramleyworks_lab import modelled_service
from bramleyworks_lab import scenario

CONFIG_POLL_S = 0.05
MIN_SAMPLES = 20
ABORT_GRACE_S = 2.0
HEAVY_ORGANISATION = f"org{len(deployment.ORGANISATION_FRACTIONS) - 1}"
PERCENTILES = (50.0, 99.0, 99.9)


class ExperimentMetrics:
    """Collects what the observer does not see in single events."""

    def __init__(
        self,
        world: model_world.ModelWorld,
        plan: scenario.Scenario,
        start_s: float,
    ):
        self._world = world
        self._scenario = plan
        self._start_s = start_s
        self._free_slot_fractions: list[float] = []
        self._max_region_excess = 0
        self._drained_upstreams: list[model_upstream.ModelUpstream] = []
        self._drain_started_s = 0.0
        self._drain_s: float | None = None
        self._late_starts = 0
        self._in_force_s: float | None = None

    def sample(self) -> None:
        """Takes free slots and overload of regions at this moment."""
        servers = [u for u in self._world.upstreams.values() if not u.down]
        slots = sum(u.spec.slots for u in servers)
        used = sum(min(u.running, u.spec.slots) for u in servers)
        self._free_slot_fractions.append(1 - used / slots)
        for name in self._world.deployment.regions:
            near = [u for u in servers if u.spec.region == name]
            over = sum(u.running - u.spec.slots for u in near)
            self._max_region_excess = max(self._max_region_excess, over)
        if self._drained_upstreams and self._drain_s is None:
            if not any(u.running for u in self._drained_upstreams):
                self._drain_s = self._world.clock() - self._drain_started_s

    def record_drain(self, target: str) -> None:
        """Notes that a failure domain is to get no new work from now on."""
        self._drain_started_s = self._world.clock()
        self._drained_upstreams = [
            u
            for u in self._world.upstreams.values()
            if f"{u.spec.region}/{u.spec.failure_domain}" == target
        ]

    async def measure_propagation(self, vms: dict, version: int) -> None:
        """Measures how long a version takes to reach every VM."""
        began_s = self._world.clock()
        known = [vm for vm in vms.values() if hasattr(vm, "config")]
        # The model polls: the tasks under test announce nothing to it.
        while any(vm.config.version < version for vm in known):  # noqa: ASYNC110
            await asyncio.sleep(CONFIG_POLL_S)
        if known:
            self._in_force_s = self._world.clock() - began_s

    def results(self, vms: dict) -> dict:
        """Returns all figures by name."""
        seen = self._world.observer
        found = {
            f"p{percent:g}_ms": seen.latency.get_value_at_percentile(percent)
            / 1000
            for percent in PERCENTILES
        }
        found |= self._organisation_results()
        found |= {
            "requests": sum(seen.requests.values()),
            "ok": self._count_outcomes("ok"),
            "failed": self._count_outcomes("failed"),
            "refused_rate": self._count_outcomes("rate"),
            "refused_slot": self._count_outcomes("slot"),
            "refused_stale": self._count_outcomes("stale"),
            "wrongful_per_million": 1e6
            * seen.wrongful_refusals
            / max(1, seen.within_rate),
            "wrongful_rate_per_million": 1e6
            * seen.wrongful_rate_refusals
            / max(1, seen.within_rate),
            "heavy_part": seen.heavy_admitted / seen.heavy_within_rate
            if seen.heavy_within_rate
            else None,
            "free_part": statistics.mean(self._free_slot_fractions),
            "over_rate": round(seen.max_overdraft, 6),
            "over_shift": seen.max_shift_excess,
            "shifted": seen.shifted,
            "over_slots": max(
                u.max_excess for u in self._world.upstreams.values()
            ),
            "over_region": self._max_region_excess,
            "drain_s": self._drain_s,
            "in_force_s": self._in_force_s,
            "store_calls": self._world.store.calls,
            "messages": self._world.network.messages,
            "message_bytes": self._world.network.message_bytes,
        }
        if self._scenario.version != "none":
            found |= self._move_results(vms)
        return found

    def _count_outcomes(self, ending: str) -> int:
        return sum(
            count
            for (_, kind), count in self._world.observer.outcomes.items()
            if kind == ending
        )

    def _organisation_results(self) -> dict:
        """Returns how the worst-served organisation within its rate fares."""
        seen = self._world.observer
        names = [
            name
            for name in seen.requests
            if self._scenario.heavy == 1.0 or name != HEAVY_ORGANISATION
        ]
        p99 = {
            name: seen.latency_by_organisation[name].get_value_at_percentile(
                99.0
            )
            for name in names
            if seen.latency_by_organisation[name].get_total_count()
            >= MIN_SAMPLES
        }
        share = {
            name: seen.outcomes[name, "ok"] / seen.requests[name]
            for name in names
        }
        if not p99:
            return {"worst_p99_ms": None, "worst_ratio": None, "worst_ok": 0.0}
        worst = max(p99.values())
        return {
            "worst_p99_ms": worst / 1000,
            "worst_ratio": worst / max(1, statistics.median(p99.values())),
            "worst_ok": min(share.values()),
        }

    def _move_results(self, vms: dict) -> dict:
        """Returns the verdict and the share that a bad version got.

        The share is the largest of all routes: requests that met the fault,
        before any VM had cut the version, as a part of the route's requests
        since the start of the move.
        """
        end_s = self._world.clock()
        cut_s = min(
            (
                vm.first_cut_s
                for vm in vms.values()
                if getattr(vm, "first_cut_s", None) is not None
            ),
            default=end_s,
        )
        fault_s = self._start_s
        if self._scenario.version == "late":
            fault_s += (
                model_upstream.LATE_FAULT_FRACTION * self._scenario.seconds
            )
        service = self._world.deployment.services[0].name
        shares, after = [0.0], 0
        for part in modelled_service.ROUTES:
            route = f"/{service}/{part}"
            if self._scenario.version == "one_route" and part != "b":
                continue
            starts = [
                (at_s, version)
                for at_s, found, version in self._world.observer.upstream_requests
                if found == route and at_s >= self._start_s
            ]
            before = [item for item in starts if item[0] <= cut_s]
            met = sum(
                1
                for at_s, version in before
                if version == deployment.NEXT_VERSION and at_s >= fault_s
            )
            shares.append(met / max(1, len(before)))
            after += sum(
                1
                for at_s, version in starts
                if version == deployment.NEXT_VERSION
                and at_s > cut_s + ABORT_GRACE_S
            )
        verdicts = {
            status.verdict
            for vm in vms.values()
            if hasattr(vm, "moves")
            for status in vm.moves.status()
        }
        return {
            "verdict": "/".join(sorted(verdicts)) or None,
            "cut_after_s": cut_s - fault_s if cut_s < end_s else None,
            "bad_share": None
            if self._scenario.version == "good"
            else max(shares),
            "after_cut": after,
        }

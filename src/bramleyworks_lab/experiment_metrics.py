"""Metrics of one experiment."""

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
    """Samples the model and combines it with the observer's counts.

    The observer counts single events; this class measures state over time.
    """

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
        """Samples free slots and the overload of each region."""
        upstreams = [u for u in self._world.upstreams.values() if not u.down]
        slots = sum(u.spec.slots for u in upstreams)
        used = sum(min(u.running, u.spec.slots) for u in upstreams)
        self._free_slot_fractions.append(1 - used / slots)
        for name in self._world.deployment.regions:
            local = [u for u in upstreams if u.spec.region == name]
            excess = sum(u.running - u.spec.slots for u in local)
            self._max_region_excess = max(self._max_region_excess, excess)
        if self._drained_upstreams and self._drain_s is None:
            if not any(u.running for u in self._drained_upstreams):
                self._drain_s = self._world.clock() - self._drain_started_s

    def record_drain(self, target: str) -> None:
        """Records that the drain of a failure domain starts now.

        Args:
            target: The failure domain as ``region/failure_domain``.
        """
        self._drain_started_s = self._world.clock()
        self._drained_upstreams = [
            u
            for u in self._world.upstreams.values()
            if f"{u.spec.region}/{u.spec.failure_domain}" == target
        ]

    async def measure_propagation(self, vms: dict, version: int) -> None:
        """Measures how long a configuration takes to reach every VM."""
        started_s = self._world.clock()
        configured = [vm for vm in vms.values() if hasattr(vm, "config")]
        # Polls, since the daemon's tasks have no hook for a test to wait on.
        while any(vm.config.version < version for vm in configured):  # noqa: ASYNC110
            await asyncio.sleep(CONFIG_POLL_S)
        if configured:
            self._in_force_s = self._world.clock() - started_s

    def results(self, vms: dict) -> dict:
        """Returns all metrics by name."""
        events = self._world.events
        results = {
            f"p{percent:g}_ms": events.latency.get_value_at_percentile(percent)
            / 1000
            for percent in PERCENTILES
        }
        results |= self._organisation_results()
        results |= {
            "requests": sum(events.requests.values()),
            "ok": self._count_outcomes("ok"),
            "failed": self._count_outcomes("failed"),
            "refused_rate": self._count_outcomes("rate"),
            "refused_slot": self._count_outcomes("slot"),
            "refused_stale": self._count_outcomes("stale"),
            "wrongful_per_million": 1e6
            * events.wrongful_refusals
            / max(1, events.within_rate),
            "wrongful_rate_per_million": 1e6
            * events.wrongful_rate_refusals
            / max(1, events.within_rate),
            "heavy_part": events.heavy_admitted / events.heavy_within_rate
            if events.heavy_within_rate
            else None,
            "free_part": statistics.mean(self._free_slot_fractions),
            "over_rate": round(events.max_overdraft, 6),
            "over_shift": events.max_shift_excess,
            "shifted": events.shifted,
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
            results |= self._move_results(vms)
        return results

    def _count_outcomes(self, outcome: str) -> int:
        return sum(
            count
            for (_, kind), count in self._world.events.outcomes.items()
            if kind == outcome
        )

    def _organisation_results(self) -> dict:
        """Returns latency and success of the worst-served organisation.

        Organisations that exceed their rate are left out.
        """
        events = self._world.events
        names = [
            name
            for name in events.requests
            if self._scenario.heavy == 1.0 or name != HEAVY_ORGANISATION
        ]
        p99 = {
            name: events.latency_by_organisation[name].get_value_at_percentile(
                99.0
            )
            for name in names
            if events.latency_by_organisation[name].get_total_count()
            >= MIN_SAMPLES
        }
        share = {
            name: events.outcomes[name, "ok"] / events.requests[name]
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
        """Returns the verdict of the move and the share of a bad version.

        The share is the largest of all routes: requests exposed to the fault
        before any VM aborted the move, divided by the route's requests since
        the start of the move.
        """
        end_s = self._world.clock()
        abort_s = min(
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
        for suffix in modelled_service.ROUTES:
            route = f"/{service}/{suffix}"
            if self._scenario.version == "one_route" and suffix != "b":
                continue
            requests = [
                (at_s, version)
                for at_s, sent_route, version in self._world.events.sent
                if sent_route == route and at_s >= self._start_s
            ]
            before = [item for item in requests if item[0] <= abort_s]
            exposed = sum(
                1
                for at_s, version in before
                if version == deployment.NEXT_VERSION and at_s >= fault_s
            )
            shares.append(exposed / max(1, len(before)))
            after += sum(
                1
                for at_s, version in requests
                if version == deployment.NEXT_VERSION
                and at_s > abort_s + ABORT_GRACE_S
            )
        verdicts = {
            status.verdict
            for vm in vms.values()
            if hasattr(vm, "moves")
            for status in vm.moves.status()
        }
        return {
            "verdict": "/".join(sorted(verdicts)) or None,
            "cut_after_s": abort_s - fault_s if abort_s < end_s else None,
            "bad_share": None
            if self._scenario.version == "good"
            else max(shares),
            "after_cut": after,
        }

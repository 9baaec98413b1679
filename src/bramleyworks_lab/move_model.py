"""Seeded simulation of moves to good and bad versions.

Run ``python -m bramleyworks_lab.move_model --seeds N`` for a table.
"""

import dataclasses
import math
import random

import click

from bramleyworks.document import move as move_module
from bramleyworks.policy import canary_stats
from bramleyworks.policy import move_record
from bramleyworks.policy import move_schedule
from bramleyworks.policy import sample

TICK_S = 0.25
HEARTBEAT_S = 1.0
DRIVER_INTERVAL_S = 2.0
# Longest time from an abort to the first tick at which another VM applies it.
ABORT_DELAY_S = 0.25
ABORT_LOSS_RATE = 0.1
OLD_VERSION, NEW_VERSION = "1", "2"


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Fault of a new version and the traffic around it.

    Attributes:
        name: Name of the row in the table.
        is_good: Whether the move should finish.
        base_failure_rate: Failure rate of both versions without a fault.
        fault_failure_rate: Failure rate of the new version with its fault.
        latency_factor: Factor on the new version's latency with its fault.
        fault_start: Fraction of the move's time at which the fault appears.
        busy_only: Whether the fault occurs only on busy upstreams.
        one_route: Whether the fault occurs only on the third route.
        incident_failure_rate: Failure rate of both versions during an incident
            of 20 s at 60% of the move's time.
        has_crash: Whether one upstream of the new version fails its 5 requests
            in flight at 30% of the move's time.
        sigma: Sigma of the log-normal latency.
    """

    name: str
    is_good: bool
    base_failure_rate: float = 0.001
    fault_failure_rate: float = 0.0
    latency_factor: float = 1.0
    fault_start: float = 0.0
    busy_only: bool = False
    one_route: bool = False
    incident_failure_rate: float = 0.0
    has_crash: bool = False
    sigma: float = 0.5


SCENARIOS = (
    Scenario("good, old 0.1%", True),
    Scenario("good, old 1%", True, base_failure_rate=0.01),
    Scenario("good, wide latency", True, sigma=1.0),
    Scenario("good, incident in both", True, incident_failure_rate=0.05),
    Scenario("good, one upstream dies", True, has_crash=True),
    Scenario("50% at once", False, fault_failure_rate=0.5),
    Scenario("5% at once", False, fault_failure_rate=0.05),
    Scenario(
        "5% at once, old 1%",
        False,
        base_failure_rate=0.01,
        fault_failure_rate=0.05,
    ),
    Scenario("twice as slow", False, latency_factor=2.0),
    Scenario("twice as slow, wide", False, latency_factor=2.0, sigma=1.0),
    Scenario(
        "50% from 40% of time", False, fault_failure_rate=0.5, fault_start=0.4
    ),
    Scenario(
        "5% from 40% of time", False, fault_failure_rate=0.05, fault_start=0.4
    ),
    Scenario(
        "50% from 70% of time", False, fault_failure_rate=0.5, fault_start=0.7
    ),
    Scenario("50% under load", False, fault_failure_rate=0.5, busy_only=True),
    Scenario("5% under load", False, fault_failure_rate=0.05, busy_only=True),
    Scenario("slow under load", False, latency_factor=2.0, busy_only=True),
    Scenario("50% on one route", False, fault_failure_rate=0.5, one_route=True),
    Scenario("5% on one route", False, fault_failure_rate=0.05, one_route=True),
    Scenario("slow on one route", False, latency_factor=2.0, one_route=True),
)


@dataclasses.dataclass(frozen=True)
class TrafficSize:
    """Size of the simulated traffic.

    Attributes:
        vms: Number of VMs that choose versions and count results.
        evaluating_vms: Number of VMs that evaluate the counts of all VMs; the
            others only send counts, to keep the simulation fast.
        rate_per_s: Requests per second over all routes and VMs.
        route_weights: Fraction of the requests on each route.
        length_s: Time from start to deadline in seconds.
    """

    vms: int = 10
    evaluating_vms: int = 3
    rate_per_s: float = 400.0
    route_weights: tuple[float, ...] = (0.5, 0.3, 0.15, 0.05)
    length_s: float = 600.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of one simulated move.

    Attributes:
        verdict: ``"done"`` or ``"undone"``.
        reason: Reason of the verdict.
        abort_after_s: Time from the fault to the abort in seconds, infinite
            without one.
        share: Largest fraction of a route's requests that the new version
            received from the start to the abort.
        share_before_fault: The same from the start to the fault.
        late_requests: Requests to the new version more than 2 s after the
            abort.
        bad_requests: Requests exposed to the fault before the abort.
    """

    verdict: str
    reason: str
    abort_after_s: float
    share: float
    share_before_fault: float
    late_requests: int
    bad_requests: int


class _Simulation:
    """Simulates one move and counts its requests."""

    def __init__(self, scenario: Scenario, size: TrafficSize, seed: int):
        self._scenario = scenario
        self._size = size
        self._rng = random.Random(seed)
        self._move = move_module.Move(
            id="m",
            service="s",
            from_version=OLD_VERSION,
            to_version=NEW_VERSION,
            start_s=0.0,
            deadline_s=size.length_s,
        )
        self._routes = tuple(f"/r{i}" for i in range(len(size.route_weights)))
        self._cumulative_weights = tuple(
            sum(size.route_weights[: i + 1])
            for i in range(len(size.route_weights))
        )
        self._analyses = [
            canary_stats.CanaryAnalysis(self._move, self._routes)
            for _ in range(size.vms)
        ]
        self._share_counters = [
            dict.fromkeys(self._routes, 0) for _ in range(size.vms)
        ]
        self._requests = dict.fromkeys(self._routes, 0)
        self._new_requests = dict.fromkeys(self._routes, 0)
        self._share_before_fault = 0.0
        self._bad_requests = 0
        self._late_requests = 0
        self._crash_left = 5 if scenario.has_crash else 0
        self._abort: tuple[float, str] | None = None
        self._abort_received_s = [math.inf] * size.vms
        self._record: move_record.MoveRecord | None = None

    def run(self) -> Outcome:
        fault_s = self._scenario.fault_start * self._size.length_s
        next_arrival_s = 0.0
        now_s = 0.0
        share = None
        while now_s < self._size.length_s:
            if now_s % DRIVER_INTERVAL_S == 0:
                self._record = (
                    move_schedule.next_record(
                        self._move,
                        self._record,
                        self._abort[1] if self._abort else None,
                        1,
                        now_s,
                    )
                    or self._record
                )
            if self._record.verdict != "running" and (
                self._abort is None or now_s > self._abort[0] + 10
            ):
                break
            if now_s <= fault_s:
                self._share_before_fault = self._largest_share()
            now_s += TICK_S
            while next_arrival_s < now_s:
                self._simulate_request(next_arrival_s, fault_s)
                next_arrival_s += self._rng.expovariate(self._size.rate_per_s)
            self._check_analyses(now_s)
            if self._abort and share is None:
                share = self._largest_share()
        abort_s = self._abort[0] if self._abort else math.inf
        verdict = self._record.verdict
        return Outcome(
            verdict="undone" if verdict == "running" else verdict,
            reason=self._record.reason,
            abort_after_s=abort_s - fault_s,
            share=self._largest_share() if share is None else share,
            share_before_fault=self._share_before_fault,
            late_requests=self._late_requests,
            bad_requests=self._bad_requests,
        )

    def _largest_share(self) -> float:
        return max(
            self._new_requests[route] / max(self._requests[route], 1)
            for route in self._routes
        )

    def _simulate_request(self, at_s: float, fault_s: float) -> None:
        rng = self._rng
        scenario = self._scenario
        vm = rng.randrange(self._size.vms)
        draw = rng.random()
        number = 0
        while draw >= self._cumulative_weights[number] and number < 3:
            number += 1
        route = self._routes[number]
        self._requests[route] += 1
        is_new = False
        if at_s < self._abort_received_s[vm]:
            counters = self._share_counters[vm]
            count = counters[route] + move_schedule.share_ppm(
                self._move, self._record, False, at_s
            )
            is_new = count >= move_schedule.FULL_SHARE_PPM
            counters[route] = (
                count - move_schedule.FULL_SHARE_PPM if is_new else count
            )
        # The new version's few upstreams run at full load.
        busy = rng.random() < (0.8 if is_new else 0.3)
        failure_rate = scenario.base_failure_rate
        elapsed_fraction = at_s / self._size.length_s
        if (
            scenario.incident_failure_rate
            and 0 < at_s - 0.6 * self._size.length_s < 20
        ):
            failure_rate = scenario.incident_failure_rate
        latency_s = 0.06 * math.exp(rng.gauss(0.0, scenario.sigma))
        if busy:
            latency_s *= 1.3
        if is_new:
            self._new_requests[route] += 1
            if self._abort and at_s > self._abort[0] + 2.0:
                self._late_requests += 1
            if self._crash_left and elapsed_fraction > 0.3:
                self._crash_left -= 1
                failure_rate = 1.0
            elif (
                not scenario.is_good
                and at_s >= fault_s
                and (busy or not scenario.busy_only)
                and (number == 2 or not scenario.one_route)
            ):
                self._bad_requests += self._abort is None
                failure_rate = max(failure_rate, scenario.fault_failure_rate)
                latency_s *= scenario.latency_factor
        self._analyses[vm].record_sample(
            sample.Sample(
                route,
                NEW_VERSION if is_new else OLD_VERSION,
                rng.random() < failure_rate,
                latency_s,
                busy,
            )
        )

    def _check_analyses(self, now_s: float) -> None:
        if self._abort is not None:
            return
        sources = [(f"v{vm}", "i") for vm in range(self._size.vms)]
        for vm in range(self._size.vms):
            if vm >= self._size.evaluating_vms:
                # Updates the thresholds for this VM's own counts.
                if now_s % HEARTBEAT_S == 0:
                    self._analyses[vm].check(sources[vm], now_s)
                continue
            reason = self._analyses[vm].check(sources[vm], now_s)
            if now_s % HEARTBEAT_S == 0:
                for other in range(self._size.vms):
                    if other != vm:
                        self._analyses[vm].merge(
                            sources[other],
                            self._analyses[other].totals(),
                            now_s,
                        )
            if reason is not None:
                self._abort = (now_s, reason)
                self._abort_received_s = [
                    now_s
                    + (
                        # The next heartbeat replaces a lost message.
                        HEARTBEAT_S + ABORT_DELAY_S
                        if self._rng.random() < ABORT_LOSS_RATE
                        else ABORT_DELAY_S
                    )
                    for _ in range(self._size.vms)
                ]
                self._abort_received_s[vm] = now_s
                return


def simulate(scenario: Scenario, size: TrafficSize, seed: int) -> Outcome:
    """Simulates one move with Poisson arrivals and log-normal latencies."""
    return _Simulation(scenario, size, seed).run()


def _row(scenario: Scenario, outcomes: list[Outcome]) -> str:
    done = sum(item.verdict == "done" for item in outcomes)
    delays = sorted(item.abort_after_s for item in outcomes)
    early = sum(item.abort_after_s < 0 for item in outcomes)
    aborts = [item for item in delays if math.isfinite(item)]
    median = aborts[len(aborts) // 2] if aborts else math.inf
    return (
        f"{scenario.name:26} done {done:3}/{len(outcomes)}"
        f"  cut {len(aborts):3} (before fault {early})"
        f"  median {median:6.1f} s  max {delays[-1]:6.1f} s"
        f"  share before fault"
        f" {max(item.share_before_fault for item in outcomes):6.2%}"
        f"  share to cut {max(item.share for item in outcomes):6.2%}"
        f"  bad requests {max(item.bad_requests for item in outcomes):5}"
        f"  later than 2 s {sum(item.late_requests for item in outcomes)}"
    )


@click.command()
@click.option("--seeds", default=20, help="Runs of each scenario.")
@click.option("--first-seed", default=0, help="Seed of the first run.")
@click.option("--rate", default=400.0, help="Requests per second.")
@click.option("--length", default=600.0, help="Time to the deadline, s.")
@click.option(
    "--only", default="", help="Runs only scenarios whose names contain this."
)
def main(
    seeds: int, first_seed: int, rate: float, length: float, only: str
) -> None:
    """Prints one line for each scenario."""
    size = TrafficSize(rate_per_s=rate, length_s=length)
    for scenario in SCENARIOS:
        if only in scenario.name:
            outcomes = [
                simulate(scenario, size, first_seed + index)
                for index in range(seeds)
            ]
            click.echo(_row(scenario, outcomes))


if __name__ == "__main__":
    main()

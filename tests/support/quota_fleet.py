"""Rate limit of an organisation in a fleet, on simulated time.

VMs report to their region at staggered times, and a relay of each region sums
the reports up for the others, as ``gateway/peers.py`` does.
"""

import dataclasses
import heapq
import math
import random
from collections.abc import Callable

from bramleyworks.gateway import organisation
from bramleyworks.gateway import quotas

WINDOW_S = 5.0
OVER = 0.1
SLACK = 20.0
TICK_S = 0.2
MIN_SUMMARY_INTERVAL_S = 0.5
MAX_FULL_MESH_VMS = 16
REGIONS = 3
NAME = "org"


@dataclasses.dataclass(frozen=True)
class Decision:
    """When a request came, and whether it was admitted."""

    at_s: float
    is_admitted: bool


class QuotaFleet:
    """VMs that share the limit of one organisation."""

    def __init__(self, vms: int, limit: float, seed: int):
        """Starts the VMs.

        Args:
            vms: Number of VMs.
            limit: Rate and burst of the organisation.
            seed: Seed of arrivals, of the times of reports and of decisions.
        """
        self._rng = random.Random(seed)
        random.seed(seed)
        self._now_s = 0.0
        self._org = organisation.Organisation(
            NAME, (), 1, float(limit), float(limit), frozenset()
        )
        self._numbers = range(vms)
        is_full_mesh = vms <= MAX_FULL_MESH_VMS
        self._regions = 1 if is_full_mesh else REGIONS
        self._interval_s = 0.25 * max(1.0, (vms / self._regions - 1) / 16)
        self._summary_s = max(MIN_SUMMARY_INTERVAL_S, self._interval_s)
        self._lag_s = self._interval_s
        if not is_full_mesh:
            self._lag_s += MIN_SUMMARY_INTERVAL_S
        self._life = 0
        self._silent_until_s = 0.0
        self._restart()

    def run(
        self,
        rate_at: Callable[[float], float],
        seconds: float,
        restart_s: float | None = None,
        silent_s: float = 0.0,
        unheard: tuple[float, float] = (math.inf, math.inf),
        at_once: int = 1,
    ) -> list[Decision]:
        """Sends requests to random VMs and returns the decisions.

        Args:
            rate_at: Returns the requests per second at a time.
            seconds: Length of the run.
            restart_s: Time at which all VMs start anew, None for never.
            silent_s: Time after it in which VMs do not hear each other.
            unheard: Time from which, and until which, each VM of a region
                hears a fifth of it only.
            at_once: Number of requests that a caller sends to the same VM one
                after the other.
        """
        self._unheard = unheard
        steps: list[tuple[float, int, Callable[[], None], float]] = []

        def repeat(step: Callable[[], None], every_s: float) -> None:
            first_s = self._rng.uniform(0.0, every_s)
            steps.append((first_s, len(steps), step, every_s))

        for number in self._numbers:
            repeat(lambda n=number: self._report(n), self._interval_s)
            repeat(lambda n=number: self._update(n), TICK_S)
        for region in range(self._regions):
            repeat(lambda r=region: self._summarise(r), self._summary_s)
        heapq.heapify(steps)
        decisions = []
        arrival_s = 0.0
        while arrival_s < seconds:
            arrival_s += self._rng.expovariate(rate_at(arrival_s))
            while steps[0][0] <= arrival_s:
                at_s, order, step, every_s = steps[0]
                if restart_s is not None and at_s >= restart_s:
                    self._now_s, restart_s = restart_s, None
                    self._restart()
                    self._silent_until_s = self._now_s + silent_s
                self._now_s = at_s
                step()
                heapq.heapreplace(steps, (at_s + every_s, order, step, every_s))
            self._now_s = arrival_s
            if len(decisions) % at_once == 0:
                vm = self._rng.choice(self._vms)
            decisions.append(Decision(arrival_s, vm.admit(self._org) == 0.0))
        return decisions

    def _restart(self) -> None:
        self._life += 1
        self._vms = [
            quotas.Quotas(WINDOW_S, OVER, SLACK, lambda: self._now_s)
            for _ in self._numbers
        ]
        for vm in self._vms:
            vm.prepare({NAME: self._org})
        self._usage: dict[int, dict[str, tuple[int, int]]] = {}
        self._summaries: dict[int, dict[str, tuple[int, int]]] = {}
        # VMs that a summary covers, and the last counts of all that were heard.
        self._covered: dict[int, int] = {}
        self._known: dict[int, int] = {}

    def _report(self, number: int) -> None:
        usage = self._vms[number].usage()
        if self._now_s >= self._silent_until_s:
            self._usage[number] = usage

    def _heard(self, region: int, receiver: int) -> list[int]:
        """Returns the VMs of a region that one of its VMs hears."""
        start_s, end_s = self._unheard
        is_lossy = start_s <= self._now_s < end_s
        return [
            number
            for number in self._usage
            if number % self._regions == region
            and not (is_lossy and (number // self._regions + receiver) % 5)
        ]

    def _summarise(self, region: int) -> None:
        heard = self._heard(region, region)
        for number in heard:
            self._known[number] = self._usage[number].get(NAME, (0, 0))[0]
        if heard:
            members = [n for n in self._known if n % self._regions == region]
            self._covered[region] = len(heard)
            self._summaries[region] = {
                NAME: (
                    sum(self._known[n] for n in members),
                    sum(self._usage[n].get(NAME, (0, 0))[1] for n in heard),
                )
            }

    def _update(self, number: int) -> None:
        own = number % self._regions
        peers = {
            f"{n} {self._life}": self._usage[n]
            for n in self._heard(own, number)
            if n != number
        }
        reporting = len(peers)
        for region, summary in self._summaries.items():
            if region != own:
                peers[f"region {region}"] = summary
                reporting += self._covered[region]
        unreachable = max(0, len(self._numbers) - reporting - 1)
        self._vms[number].update_peers(
            peers, unreachable, self._lag_s, reporting_vms=reporting
        )


def worst_window(decisions: list[Decision]) -> int:
    """Returns the maximum number of admitted requests in any window."""
    times = [d.at_s for d in decisions if d.is_admitted]
    start = worst = 0
    for end, at_s in enumerate(times):
        while at_s - times[start] > WINDOW_S:
            start += 1
        worst = max(worst, end - start + 1)
    return worst


def allowed(limit: float) -> float:
    """Returns how many requests a window may have."""
    return (limit * WINDOW_S + limit) * (1 + OVER) + SLACK


def admitted(decisions: list[Decision], start_s: float, end_s: float) -> int:
    """Returns the number of requests admitted between two times."""
    return sum(d.is_admitted for d in decisions if start_s <= d.at_s < end_s)


def share_admitted(
    decisions: list[Decision], start_s: float, end_s: float
) -> float:
    """Returns the share of requests admitted between two times."""
    found = [d.is_admitted for d in decisions if start_s <= d.at_s < end_s]
    return sum(found) / len(found)

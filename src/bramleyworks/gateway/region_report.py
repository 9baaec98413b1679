"""Measurements of a service by region, as VMs send them in heartbeats.

Sums and counts decay with time, so that a report holds the last seconds and a
lost heartbeat costs nothing but age.
"""

import dataclasses
import math
from collections.abc import Iterable

import msgspec

# Time constant of the decay. A VM gets 1 to 6 requests per second for a service
# and a region some 100; demand changes by a third within 6 s.
TIME_CONSTANT_S = 2.0
# Units in which numbers are sent: small integers take one to three bytes.
_RATE_UNIT = 0.01
_SHARE_UNIT = 0.001
_COUNT_UNIT = 0.1
_SUM_UNIT_S = 0.001


class RegionReport(msgspec.Struct, frozen=True, array_like=True):
    """Measurements of some VMs of one region for one service.

    Attributes:
        vms: Number of VMs that have measured.
        rate: Requests of their callers in hundredths of a request per second.
        share: Fraction of them that is planned to run in the VMs' region, in
            thousandths, as mean over these requests.
        runs: For each region where requests ran: their count in tenths, and
            the sums of their latencies and of their work in ms.
    """

    vms: int
    rate: int
    share: int
    runs: dict[str, tuple[int, int, int]]

    @property
    def rate_per_s(self) -> float:
        """Requests per second."""
        return self.rate * _RATE_UNIT

    @property
    def local_share(self) -> float:
        """Fraction of the requests that is planned to run locally."""
        return self.share * _SHARE_UNIT

    def numbers(self) -> Iterable[float]:
        """Yields all numbers, for a check of their ranges."""
        yield from (self.vms, self.rate, self.share)
        for sums in self.runs.values():
            yield from sums


@dataclasses.dataclass(frozen=True, slots=True)
class RunSums:
    """Count and sums in seconds of requests that ran in one region."""

    count: float = 0.0
    latency_s: float = 0.0
    work_s: float = 0.0

    def __add__(self, other: "RunSums") -> "RunSums":
        return RunSums(
            self.count + other.count,
            self.latency_s + other.latency_s,
            self.work_s + other.work_s,
        )

    def decayed(self, factor: float) -> "RunSums":
        """Returns the sums multiplied by a factor."""
        return RunSums(
            self.count * factor, self.latency_s * factor, self.work_s * factor
        )


def run_sums(reports: Iterable[RegionReport]) -> dict[str, RunSums]:
    """Returns what requests took by the region where they ran."""
    totals: dict[str, RunSums] = {}
    for report in reports:
        for region, (count, latency_ms, work_ms) in report.runs.items():
            totals[region] = totals.get(region, RunSums()) + RunSums(
                count * _COUNT_UNIT,
                latency_ms * _SUM_UNIT_S,
                work_ms * _SUM_UNIT_S,
            )
    return totals


def merge(reports: Iterable[RegionReport]) -> RegionReport | None:
    """Returns the report of all VMs together, None without reports."""
    found = list(reports)
    if not found:
        return None
    rate = sum(report.rate for report in found)
    runs: dict[str, tuple[int, int, int]] = {}
    for report in found:
        for region, sums in report.runs.items():
            known = runs.get(region, (0, 0, 0))
            runs[region] = (
                known[0] + sums[0],
                known[1] + sums[1],
                known[2] + sums[2],
            )
    return RegionReport(
        vms=sum(report.vms for report in found),
        rate=rate,
        share=round(sum(r.rate * r.share for r in found) / max(1, rate)),
        runs=runs,
    )


class Measurements:
    """Measurements of one VM for one service."""

    def __init__(self):
        self.objective_s: float | None = None
        self._first_s = math.inf
        self._updated_s = -math.inf
        self._requests = 0.0
        self._runs: dict[str, RunSums] = {}

    def record_request(self, now_s: float, objective_s: float) -> None:
        """Counts a caller's request.

        Args:
            now_s: Monotonic time in seconds.
            objective_s: Its latency objective; the mean is kept over routes.
        """
        self._decay(now_s)
        self._first_s = min(self._first_s, now_s)
        self._requests += 1.0
        known = self.objective_s or objective_s
        self.objective_s = known + 0.05 * (objective_s - known)

    def record_run(
        self, now_s: float, region: str, latency_s: float, work_s: float
    ) -> None:
        """Counts a request that ran, or was refused, in a region.

        Args:
            now_s: Monotonic time in seconds.
            region: The region.
            latency_s: Time that it took without the round trip.
            work_s: The part of it that was not waiting.
        """
        self._decay(now_s)
        self._runs[region] = self._runs.get(region, RunSums()) + RunSums(
            1.0, latency_s, work_s
        )

    def report(self, now_s: float, local_share: float) -> RegionReport | None:
        """Returns what was measured, None before the first request.

        Args:
            now_s: Monotonic time in seconds.
            local_share: Planned share of the requests that stay.
        """
        if math.isinf(self._first_s):
            return None
        self._decay(now_s)
        # The sums of a VM that has just started cover less time.
        covered_s = TIME_CONSTANT_S * -math.expm1(
            -max(0.25, now_s - self._first_s) / TIME_CONSTANT_S
        )
        return RegionReport(
            vms=1,
            rate=round(self._requests / covered_s / _RATE_UNIT),
            share=round(local_share / _SHARE_UNIT),
            runs={
                region: (
                    round(sums.count / _COUNT_UNIT),
                    round(sums.latency_s / _SUM_UNIT_S),
                    round(sums.work_s / _SUM_UNIT_S),
                )
                for region, sums in self._runs.items()
                if sums.count >= _COUNT_UNIT
            },
        )

    def _decay(self, now_s: float) -> None:
        if now_s <= self._updated_s:
            return
        factor = math.exp((self._updated_s - now_s) / TIME_CONSTANT_S)
        self._updated_s = now_s
        self._requests *= factor
        self._runs = {
            region: sums.decayed(factor) for region, sums in self._runs.items()
        }

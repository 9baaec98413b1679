"""Rate limit that several VMs enforce together by exchanging their counts.

Each VM estimates the level of one common token bucket from the counts that it
has received from all VMs. The others do not know what it has admitted since its
last report, so until the next one a VM may admit only its share of the level.
A level below zero is refilled before anything else is admitted. Where shares
are below one request, which VM receives the next request is not known, and each
VM admits a few with the probability that admits the rate in sum. The
design cases are an organisation that suddenly sends eight times its usual rate
through all VMs, with a limit of 1.6 times its usual rate, and one that goes on
to send several times its limit through hundreds of VMs.
"""

import dataclasses
import math
import random
from collections.abc import Callable

# Fraction of the level that is divided evenly regardless of demand, so that a
# VM can admit the first requests of an organisation.
EVEN_FRACTION = 0.2
# Level, as a fraction of the bucket, from which a VM may exceed its share:
# requests arrive in bursts, and the share of one VM among many is below one
# request.
RELAXED_MIN_LEVEL = 0.4
RELAXED_SHARE_FACTOR = 1.4
RELAXED_MIN_REQUESTS = 2.0
# Requests that the VMs may admit before they report them, as a multiple of what
# a window allows beyond the rate. They never all use their shares at once.
RELAXED_EXCESS_FACTOR = 1.2
# Demand, as a multiple of the rate, up to which a VM may exceed its share.
RELAXED_MAX_DEMAND = 1.2
# Additional demand per second, as a fraction of what a window allows beyond the
# rate; the measured demand of a small organisation fluctuates.
RELAXED_EXCESS_PER_S = 0.1
# Maximum time for which an excess is paid back; bounds how far below zero the
# level may fall.
MAX_DEBT_S = 5.0
# Time constant of the average that tells whether demand rises, and multiple of
# the rise that is expected to follow for each second that reports are late.
DEMAND_TIME_CONSTANT_S = 1.0
RISE_PER_S = 4.0
# Time constant of the average of what all VMs admit.
SPENT_TIME_CONSTANT_S = 2.0
# Time after its start in which a VM does not know the demand on the others, and
# the demand, as a multiple of the rate, that it assumes at least. With less a
# VM would admit too much if it starts together with all others during a burst.
UNKNOWN_DEMAND_S = 3.0
ASSUMED_DEMAND = 2.5
# Time until peers know of a request, assumed before the first update.
ASSUMED_REPORT_DELAY_S = 1.0
# Level, as a fraction of the bucket, that a VM assumes before it knows the
# usage of the others.
INITIAL_LEVEL = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Reported usage of a limit.

    Attributes:
        admitted: Number of requests admitted.
        demand_per_s: Requests per second that were to be admitted.
    """

    admitted: int
    demand_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitState:
    """What a decision about a request was based on.

    Attributes:
        rate_per_s: Requests per second for all VMs together.
        demand_per_s: Requests per second that all VMs are expected to get, by
            what was reported lately.
        level: Requests that all VMs together may still admit.
        share: Fraction of the level that this VM may use.
        chance: Probability of admitting a request beyond the share.
        pending: Requests that this VM admitted and peers do not know yet.
        vms: Number of VMs that report, with this one.
        unreachable: Number of further VMs, whose reports are missing.
        age_s: Seconds since the reports were last taken into account, None
            before the first time.
    """

    rate_per_s: float
    demand_per_s: float
    level: float
    share: float
    chance: float
    pending: int
    vms: int
    unreachable: int
    age_s: float | None


class SharedLimit:
    """A VM's view of a shared limit.

    Mutable, because copying it for each request would cost more than the
    decision.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        excess: float,
        now_s: float,
        draw: Callable[[], float] = random.random,
    ):
        """Initializes the limit with a partly filled bucket.

        Args:
            rate_per_s: Requests per second for all VMs together.
            burst: Size of the bucket in requests.
            excess: Number of requests that a window allows beyond the rate.
            now_s: Monotonic time in seconds.
            draw: Returns a random number below 1.
        """
        self._draw = draw
        self._rate = rate_per_s
        self._burst = burst
        self._excess = excess
        self._level = INITIAL_LEVEL * burst
        self._refilled_s = now_s
        self._own_reported = 0
        self._own_admitted = 0
        self._share = 0.0
        self._even_share = 0.0
        # Part of what is left that a VM may use alone if there is enough. A
        # region counts as one, since few of its VMs do so at a time.
        self._relaxed_share = 0.0
        self._is_relaxed = True
        self._reporting_fraction = 1.0
        # What was not refilled since VMs that did not report may have used it.
        self._withheld = 0.0
        self._demand_per_s = 0.0
        self._mean_demand_per_s = 0.0
        self._reporting = 0
        self._unreachable = 0
        self._updated_s: float | None = None
        self._created_s = now_s
        self._spent_per_s = 0.0
        self._report_delay_s = ASSUMED_REPORT_DELAY_S

    @property
    def admitted(self) -> int:
        """Number of requests admitted since the start."""
        return self._own_admitted

    def configure(self, rate_per_s: float, burst: float, excess: float) -> None:
        """Changes the limit; the level is capped at the new burst.

        Args:
            rate_per_s: Requests per second for all VMs together.
            burst: Size of the bucket in requests.
            excess: Number of requests that a window allows beyond the rate.
        """
        self._rate = rate_per_s
        self._excess = excess
        self._burst = burst
        self._level = min(self._level, burst + self._unreported())

    def update(
        self,
        own: Usage,
        peers: Usage,
        reporting: int,
        unreachable: int,
        now_s: float,
        report_delay_s: float,
        reports: int | None = None,
    ) -> None:
        """Updates the level and this VM's share from the peers' reports.

        Args:
            own: Usage of this VM that the peers have received.
            peers: What all peers together admitted since the last update, and
                their present demand. What a peer admitted before its first
                report is accounted for in the initial level.
            reporting: Number of peers whose requests the reports count.
            unreachable: Number of further peers that may admit requests but
                whose reports are not received.
            now_s: Monotonic time in seconds.
            report_delay_s: Time until all peers know what this VM admits.
            reports: Number of reports, None if each is of one peer.
        """
        self._report_delay_s = report_delay_s
        vms = reporting + 1 + unreachable
        spent = own.admitted - self._own_reported + peers.admitted
        self._own_reported = own.admitted
        self._measure_spending(spent, now_s)
        self._refill(now_s)
        returned = self._release_withheld((reporting + 1) / vms)
        floor = -self._burst - MAX_DEBT_S * self._rate
        self._level = max(floor, self._level - max(0.0, spent - returned))
        self._even_share = 1.0 / vms
        self._relaxed_share = 1.0 / (
            (reporting if reports is None else reports) + 1 + unreachable
        )
        total_demand = own.demand_per_s + peers.demand_per_s
        self._measure_demand(total_demand * vms / (reporting + 1), now_s)
        self._reporting = reporting
        self._unreachable = unreachable
        self._updated_s = now_s
        self._is_relaxed = self._forecast_per_s <= (
            RELAXED_MAX_DEMAND * self._rate
            + RELAXED_EXCESS_PER_S * self._excess
        )
        self._share = _own_share(
            own.demand_per_s, total_demand, reporting + 1, vms
        )

    def admit(self, now_s: float) -> float:
        """Admits or rejects a request.

        Returns:
            0 if it is admitted, otherwise the seconds until a request may be
            admitted.
        """
        self._refill(now_s)
        pending = self._own_admitted - self._own_reported
        allowed = self._share * self._level
        free = self._level - self._unreported()
        if self._is_relaxed and free >= RELAXED_MIN_LEVEL * self._burst:
            fair = max(self._share, self._relaxed_share) * free
            spread = RELAXED_EXCESS_FACTOR * self._excess * self._relaxed_share
            allowed = max(
                RELAXED_MIN_REQUESTS, spread, RELAXED_SHARE_FACTOR * fair
            )
        # Twice this VM's part of what is admitted until reports arrive.
        usual = 2.0 * self._even_share * self._rate * self._report_delay_s
        if pending + 1 <= allowed or (
            pending < max(1.0, usual) and self._draw() < self._chance(now_s)
        ):
            self._own_admitted += 1
            return 0.0
        missing = 1.0 + max(0.0, -self._level)
        return missing / max(1e-3, self._rate)

    def state(self, now_s: float) -> LimitState:
        """Returns what decides about requests at this time."""
        return LimitState(
            rate_per_s=self._rate,
            demand_per_s=round(self._demand_per_s, 1),
            level=round(self._level, 2),
            share=round(self._share, 4),
            chance=round(self._chance(now_s), 3),
            pending=self._own_admitted - self._own_reported,
            vms=self._reporting + 1,
            unreachable=self._unreachable,
            age_s=(
                None
                if self._updated_s is None
                else round(now_s - self._updated_s, 2)
            ),
        )

    def refund(self) -> None:
        """Returns the token of a request that was admitted but did not run."""
        if self._own_admitted > self._own_reported:
            self._own_admitted -= 1

    def _chance(self, now_s: float) -> float:
        """Returns the probability of admitting a request beyond the share.

        It is the same at all VMs, however few requests each of them receives.
        """
        demand_per_s = self._forecast_per_s
        supply = self._level
        if supply <= 0.0:
            return 0.0
        if now_s - self._created_s < UNKNOWN_DEMAND_S:
            demand_per_s = max(demand_per_s, ASSUMED_DEMAND * self._rate)
            # The level refills only as far as peers report.
            supply += self._rate * self._report_delay_s
        expected = demand_per_s * self._report_delay_s
        return supply / expected if expected > 0.0 else 1.0

    def _release_withheld(self, reporting_fraction: float) -> float:
        """Returns what was withheld for VMs that report again.

        They report what they used of it, which must not be charged twice.

        Args:
            reporting_fraction: Fraction of the VMs that report now.
        """
        before, self._reporting_fraction = (
            self._reporting_fraction,
            reporting_fraction,
        )
        if reporting_fraction <= before:
            return 0.0
        part = (reporting_fraction - before) / (1.0 - before)
        released = part * self._withheld
        self._withheld -= released
        return released

    def _measure_demand(self, demand_per_s: float, now_s: float) -> None:
        """Updates the demand of all VMs and its average."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        smoothing = min(1.0, elapsed_s / DEMAND_TIME_CONSTANT_S)
        self._mean_demand_per_s += smoothing * (
            demand_per_s - self._mean_demand_per_s
        )
        self._demand_per_s = demand_per_s

    @property
    def _forecast_per_s(self) -> float:
        """Demand of all VMs by the time their reports arrive."""
        mean = self._mean_demand_per_s
        # Independent requests vary by the square root of their number.
        rise = max(0.0, self._demand_per_s - mean - math.sqrt(mean))
        return self._demand_per_s + RISE_PER_S * self._report_delay_s * rise

    def _measure_spending(self, spent: int, now_s: float) -> None:
        """Updates the average of what all VMs admit per second."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        if elapsed_s > 0.0:
            smoothing = min(1.0, elapsed_s / SPENT_TIME_CONSTANT_S)
            spent_per_s = spent / elapsed_s
            self._spent_per_s += smoothing * (spent_per_s - self._spent_per_s)

    def _unreported(self) -> float:
        """Returns how many admitted requests are probably not reported yet."""
        return min(self._rate, self._spent_per_s) * self._report_delay_s

    def _refill(self, now_s: float) -> None:
        """Refills the bucket; VMs that do not report use their part of it."""
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        refill = elapsed_s * self._rate
        added = refill * self._reporting_fraction
        self._withheld = min(
            MAX_DEBT_S * self._rate, self._withheld + refill - added
        )
        # Requests that are not reported yet will be taken off later.
        most = self._burst + self._unreported()
        self._level = min(most, self._level + added)


def _own_share(
    own_per_s: float, known_per_s: float, reporting: int, vms: int
) -> float:
    """Returns the fraction of the level that this VM may use alone.

    Args:
        own_per_s: Demand of this VM.
        known_per_s: Demand of all VMs that report, with this one.
        reporting: Number of VMs that report, with this one.
        vms: Number of all VMs.
    """
    total = known_per_s + (vms - reporting) * known_per_s / reporting
    even = 1.0 / vms
    if total <= 0.0:
        return even
    return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * own_per_s / total

"""One limit that several VMs keep together by telling each other their counts.

Each VM reckons the level of one common bucket from what all VMs have admitted,
as far as it has heard. What was admitted since is unknown to the others, so a
VM may admit only its part of the level before its counts have reached them.
A level below zero is paid back before anything else is admitted. The load it
answers is an organisation that sends eight times its usual through all VMs
from one moment to the next, with a limit of 1.6 times its usual.
"""

import dataclasses
from collections.abc import Mapping

# Part of the limit's level that is dealt out evenly whatever the demand, so
# that a VM can admit the first requests of an organisation.
EVEN_FRACTION = 0.2
# Level, as a part of the bucket, from which a VM may go beyond its part:
# requests come in clumps, and the part of one VM of many is less than one.
RELAXED_MIN_LEVEL = 0.4
RELAXED_SHARE_FACTOR = 1.4
RELAXED_MIN_REQUESTS = 2.0
# What VMs may use unheard, as a multiple of what a window allows beyond the
# rate. They never use all of their parts at the same time.
RELAXED_EXCESS_FACTOR = 1.2
# Demand, as a part of the rate, up to which it may do so.
RELAXED_MAX_DEMAND = 1.2
# The same per second as a part of what a window allows beyond the rate; the
# measured demand of a small organisation scatters.
RELAXED_EXCESS_PER_S = 0.1
# Longest time for which an excess is paid back, in seconds of the rate.
MAX_DEBT_S = 5.0
# Level that a VM assumes before it has heard of the others' use.
INITIAL_LEVEL = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one VM tells of its use of a limit.

    Attributes:
        admitted: Requests admitted since its start.
        asked_per_s: Requests per second that it was asked to admit.
    """

    admitted: int
    demand_per_s: float


class SharedLimit:
    """A VM's view of one limit.

    A class with state, because copying it for each request would cost more
    than the decision.
    """

    def __init__(
        self, rate_per_s: float, burst: float, excess: float, now_s: float
    ):
        """Starts with a part of the bucket.

        Args:
            rate_per_s: Requests per second for all VMs together.
            burst: Requests that may come at once.
            excess: Requests that a window allows beyond the rate.
            now_s: Monotonic time in seconds.
        """
        self._rate = rate_per_s
        self._burst = burst
        self._excess = excess
        self._level = INITIAL_LEVEL * burst
        self._refilled_s = now_s
        self._peer_admitted: dict[str, int] = {}
        self._own_reported = 0
        self._own_admitted = 0
        self._share = 0.0
        self._even_share = 0.0
        self._is_relaxed = True
        self._reporting_fraction = 1.0

    @property
    def admitted(self) -> int:
        """Requests admitted since the start."""
        return self._own_admitted

    def configure(self, rate_per_s: float, burst: float, excess: float) -> None:
        """Changes the limit; a smaller bucket loses what is over its size."""
        self._rate = rate_per_s
        self._excess = excess
        self._burst = burst
        self._level = min(self._level, burst)

    def update(
        self,
        own: Usage,
        peers: Mapping[str, Usage],
        unreachable: int,
        now_s: float,
    ) -> None:
        """Takes what the peers have told.

        Args:
            own: Use of this VM that the peers know by now.
            peers: Newest use of each peer, by VM or region and incarnation.
            unreachable: Peers to reckon with that are not heard.
            now_s: Monotonic time in seconds.
        """
        heard = len(peers) + 1
        vms = heard + unreachable
        self._reporting_fraction = heard / vms
        spent = own.admitted - self._own_reported
        self._own_reported = own.admitted
        for name, use in peers.items():
            # What a peer admitted before it was first heard of is in the
            # level that this VM started with.
            known = self._peer_admitted.get(name, use.admitted)
            spent += max(0, use.admitted - known)
            self._peer_admitted[name] = use.admitted
        self._refill(now_s)
        floor = -self._burst - MAX_DEBT_S * self._rate
        self._level = max(floor, self._level - spent)
        self._even_share = 1.0 / vms
        asked = own.demand_per_s + sum(u.demand_per_s for u in peers.values())
        self._is_relaxed = asked <= (
            RELAXED_MAX_DEMAND * self._rate
            + RELAXED_EXCESS_PER_S * self._excess
        )
        self._share = _own_share(own.demand_per_s, peers, unreachable)

    def admit(self, now_s: float) -> float:
        """Takes one request into account.

        Returns:
            0 if it may run, else the seconds until another one may.
        """
        self._refill(now_s)
        pending = self._own_admitted - self._own_reported
        allowed = self._share * self._level
        if self._is_relaxed and self._level >= RELAXED_MIN_LEVEL * self._burst:
            fair = max(self._share, self._even_share) * self._level
            spread = RELAXED_EXCESS_FACTOR * self._excess * self._even_share
            allowed = max(
                RELAXED_MIN_REQUESTS, spread, RELAXED_SHARE_FACTOR * fair
            )
        if pending + 1 <= allowed:
            self._own_admitted += 1
            return 0.0
        missing = 1.0 + max(0.0, -self._level)
        return missing / max(1e-3, self._rate)

    def refund(self) -> None:
        """Takes back a request that was admitted and did not run."""
        if self._own_admitted > self._own_reported:
            self._own_admitted -= 1

    def _refill(self, now_s: float) -> None:
        """Adds what the time brings; VMs not heard from use their part."""
        passed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        added = passed_s * self._rate * self._reporting_fraction
        self._level = min(self._burst, self._level + added)


def _own_share(
    own_per_s: float, peers: Mapping[str, Usage], unreachable: int
) -> float:
    """Returns the part of the level that a VM may use by itself."""
    heard = len(peers) + 1
    known = own_per_s + sum(use.demand_per_s for use in peers.values())
    total = known + unreachable * known / heard
    even = 1.0 / (heard + unreachable)
    if total <= 0.0:
        return even
    return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * own_per_s / total

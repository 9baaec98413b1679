"""Rate limits of organisations, enforced jointly by all VMs."""

import collections
from collections.abc import Callable
from collections.abc import Mapping

from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.policy import peer_usage
from bramleyworks.policy import shared_limit

# Time constant of the moving average of demand.
RATE_TIME_CONSTANT_S = 1.0
# Fractions of the tolerated excess, proportional and fixed, that are added to
# the capacity of the shared bucket. The rest covers requests that VMs admit
# before they receive each other's counts.
OVER_FRACTION = 0.2
SLACK_FRACTION = 0.7
NO_USAGE = (0, 0)
# Demand is reported in tenths of a request per second.
DEMAND_SCALE = 10


class _RateMeter:
    """Exponential moving average of requests per second."""

    def __init__(self, now_s: float):
        self._count = 0
        self._updated_s = now_s
        self.rate = 0.0

    def add(self) -> None:
        self._count += 1

    def update(self, now_s: float) -> None:
        """Updates the rate with the requests counted since the last update."""
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        smoothing = min(1.0, elapsed_s / RATE_TIME_CONSTANT_S)
        self.rate += smoothing * (self._count / elapsed_s - self.rate)
        self._count = 0
        self._updated_s = now_s


class Quotas:
    """Admits requests within the rate limits of their organisations."""

    def __init__(
        self,
        window_s: float,
        over: float,
        slack: float,
        clock: Callable[[], float],
    ):
        """Initializes the quotas with no demand measured.

        Args:
            window_s: Window over which requests are counted against a limit.
            over: Tolerated excess as a fraction of what the limit allows.
            slack: Tolerated excess in requests, in addition to ``over``.
            clock: Monotonic time in seconds.
        """
        self.configure(window_s, over, slack)
        self._clock = clock
        self._meters: dict[str, _RateMeter] = {}
        self._limits: dict[str, shared_limit.SharedLimit] = {}
        self._peers = peer_usage.PeerUsage()
        self._prepared: Mapping[str, organisation_module.Organisation] = {}
        self._reported: collections.deque[
            tuple[float, dict[str, tuple[int, int]]]
        ] = collections.deque()

    def configure(self, window_s: float, over: float, slack: float) -> None:
        """Changes window and tolerance; arguments as in the constructor."""
        self._window_s = window_s
        self._over = over
        self._slack = slack

    def admit(self, organisation: organisation_module.Organisation) -> float:
        """Counts a request and returns whether it may run.

        Args:
            organisation: Organisation that sent the request.

        Returns:
            0 if it may run, else the time in seconds until another one may.
        """
        now_s = self._clock()
        name = organisation.name
        meter = self._meters.get(name)
        if meter is None:
            meter = self._meters[name] = _RateMeter(now_s)
        meter.add()
        if organisation.rate_per_s <= 0:
            return 0.0
        limit = self._limit(organisation)
        return limit.admit(now_s)

    def state(self, organisation: str) -> shared_limit.LimitState | None:
        """Returns the state of a limit, None if there is none."""
        limit = self._limits.get(organisation)
        return None if limit is None else limit.state(self._clock())

    def prepare(
        self, organisations: Mapping[str, organisation_module.Organisation]
    ) -> None:
        """Creates the limits of organisations before their first request."""
        if organisations is self._prepared:
            return
        self._prepared = organisations
        for organisation in organisations.values():
            if organisation.rate_per_s > 0:
                self._limit(organisation)

    def _limit(
        self, organisation: organisation_module.Organisation
    ) -> shared_limit.SharedLimit:
        """Returns the limit of an organisation with its current settings."""
        rate_per_s = organisation.rate_per_s
        allowed = rate_per_s * self._window_s + organisation.burst
        over = self._over * allowed
        burst = (
            organisation.burst
            + OVER_FRACTION * over
            + SLACK_FRACTION * self._slack
        )
        excess = organisation.burst + over + self._slack
        limit = self._limits.get(organisation.name)
        if limit is None:
            limit = shared_limit.SharedLimit(
                rate_per_s, burst, excess, self._clock()
            )
            self._limits[organisation.name] = limit
        limit.configure(rate_per_s, burst, excess)
        return limit

    def refund(self, organisation: str) -> None:
        """Refunds a request that was admitted but did not run."""
        limit = self._limits.get(organisation)
        if limit is not None:
            limit.refund()

    def usage(self) -> dict[str, tuple[int, int]]:
        """Returns the usage to report to peers, by organisation.

        Returns:
            Admitted requests, and demand in tenths of a request per second.
        """
        now_s = self._clock()
        result = {}
        for name, meter in self._meters.items():
            meter.update(now_s)
            limit = self._limits.get(name)
            count = limit.admitted if limit else 0
            rate = round(meter.rate * DEMAND_SCALE)
            if count or rate:
                result[name] = (count, rate)
        self._reported.append((now_s, result))
        return result

    def update_peers(
        self,
        peers: Mapping[str, Mapping[str, tuple[int, int]]],
        unreachable_vms: int,
        lag_s: float,
        sources: Mapping[str, str] | None = None,
        reporting_vms: int | None = None,
    ) -> None:
        """Updates the limits with the usage reported by peers.

        Args:
            peers: Usage by organisation, for each VM and incarnation, or
                region; the same object for the same report.
            unreachable_vms: VMs that share the limits but send no reports.
            lag_s: Time after which peers have received what this VM reported.
            sources: VM and incarnation that reports for a region, by region.
            reporting_vms: VMs whose usage is in the reports, None if each
                report is of one VM.
        """
        now_s = self._clock()
        while len(self._reported) > 1 and self._reported[1][0] <= now_s - lag_s:
            self._reported.popleft()
        own_usage: dict[str, tuple[int, int]] = {}
        if self._reported and self._reported[0][0] <= now_s - lag_s:
            own_usage = self._reported[0][1]
        self._peers.update(peers, sources, now_s)
        if reporting_vms is None:
            reporting_vms = self._peers.peer_count
        for name, limit in self._limits.items():
            limit.update(
                # Own usage is taken as old as that of the peers, so that the
                # shares that all VMs compute add up to one.
                own=_decode_usage(own_usage.get(name, NO_USAGE)),
                peers=_decode_usage(
                    (self._peers.take_admitted(name), self._peers.demand(name))
                ),
                reporting=reporting_vms,
                unreachable=unreachable_vms,
                now_s=now_s,
                report_delay_s=lag_s,
                reports=self._peers.peer_count,
            )


def _decode_usage(encoded: tuple[int, int]) -> shared_limit.Usage:
    admitted, tenths = encoded
    return shared_limit.Usage(admitted, tenths / DEMAND_SCALE)

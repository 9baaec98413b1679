"""The rates of organisations, kept together with all other VMs."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.policy import shared_limit

# Time constant of the measured demand.
RATE_TIME_CONSTANT_S = 1.0
# Parts of the tolerated excess, in proportion to the limit and fixed, that the
# common bucket holds; the rest covers what VMs admit before they hear of each
# other.
OVER_FRACTION = 0.2
SLACK_FRACTION = 0.7
NO_USAGE = (0, 0)
# Demand is told in tenths of a request per second.
DEMAND_SCALE = 10


class _RateMeter:
    """Requests per second with an exponential window."""

    def __init__(self, now_s: float):
        self._count = 0
        self._updated_s = now_s
        self.rate = 0.0

    def add(self) -> None:
        self._count += 1

    def update(self, now_s: float) -> None:
        """Brings the rate up to date."""
        passed_s = now_s - self._updated_s
        if passed_s <= 0.0:
            return
        part = min(1.0, passed_s / RATE_TIME_CONSTANT_S)
        self.rate += part * (self._count / passed_s - self.rate)
        self._count = 0
        self._updated_s = now_s


class Quotas:
    """Admits requests within the limits of their organisations."""

    def __init__(
        self,
        window_s: float,
        over: float,
        slack: float,
        clock: Callable[[], float],
    ):
        """Starts without knowledge of demand.

        Args:
            window_s: Window in which requests are counted against a limit.
            over: Tolerated excess as a part of what the limit allows.
            slack: Excess in requests that is tolerated besides.
            clock: Monotonic time in seconds.
        """
        self.configure(window_s, over, slack)
        self._clock = clock
        self._meters: dict[str, _RateMeter] = {}
        self._limits: dict[str, shared_limit.SharedLimit] = {}
        self._reported: collections.deque[
            tuple[float, dict[str, tuple[int, int]]]
        ] = collections.deque()

    def configure(self, window_s: float, over: float, slack: float) -> None:
        """Changes the tolerance; the arguments are those of the class."""
        self._window_s = window_s
        self._over = over
        self._slack = slack

    def admit(self, organisation: organisation_module.Organisation) -> float:
        """Takes a request into account.

        Args:
            organisation: Sender of the request.

        Returns:
            0 if it may run, else the seconds until another one may.
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

    def prepare(
        self, organisations: Iterable[organisation_module.Organisation]
    ) -> None:
        """Takes limits into account before their first request."""
        for organisation in organisations:
            if organisation.rate_per_s > 0:
                self._limit(organisation)

    def _limit(
        self, organisation: organisation_module.Organisation
    ) -> shared_limit.SharedLimit:
        """Returns the limit of an organisation as it is configured now."""
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
        """Takes back a request that was admitted and did not run."""
        limit = self._limits.get(organisation)
        if limit is not None:
            limit.refund()

    def usage(self) -> dict[str, tuple[int, int]]:
        """Returns what peers are told, by organisation.

        Returns:
            Admitted requests, and demand in tenths of a request per second.
        """
        now_s = self._clock()
        found = {}
        for name, meter in self._meters.items():
            meter.update(now_s)
            limit = self._limits.get(name)
            count = limit.admitted if limit else 0
            rate = round(meter.rate * DEMAND_SCALE)
            if count or rate:
                found[name] = (count, rate)
        self._reported.append((now_s, found))
        return found

    def update_peers(
        self,
        peers: Mapping[str, Mapping[str, tuple[int, int]]],
        silent_vms: int,
        lag_s: float,
    ) -> None:
        """Takes what peers have told.

        Args:
            peers: Use by organisation, by VM or region and incarnation.
            silent_vms: VMs that share the limits and are not heard.
            lag_s: Time after which peers know what this VM has told.
        """
        now_s = self._clock()
        while len(self._reported) > 1 and self._reported[1][0] <= now_s - lag_s:
            self._reported.popleft()
        told: dict[str, tuple[int, int]] = {}
        if self._reported and self._reported[0][0] <= now_s - lag_s:
            told = self._reported[0][1]
        for name, limit in self._limits.items():
            # Its own use as old as that of the others, so that all VMs come to
            # parts that add up to one.
            own = _decode_usage(told.get(name, NO_USAGE))
            limit.update(
                own=own,
                peers={
                    vm: _decode_usage(use.get(name, NO_USAGE))
                    for vm, use in peers.items()
                },
                unreachable=silent_vms,
                now_s=now_s,
            )


def _decode_usage(encoded: tuple[int, int]) -> shared_limit.Usage:
    admitted, tenths = encoded
    return shared_limit.Usage(admitted, tenths / DEMAND_SCALE)

"""The rates of organisations, shared between VMs by demand."""

import dataclasses
from collections.abc import Callable

from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.policy import quota_share
from bramleyworks.policy import token_bucket

# Time constant of the measured demand.
RATE_TAU_S = 2.0
# Part of the tolerated excess that buckets may hold in all; the rest covers
# the time that VMs take to learn of each other's demand.
TOLERANCE_USE = 0.6
# Part of a limit that a bucket may start with: a restarted VM must not spend
# its part of the burst a second time.
FIRST_PART = 0.25


class _Meter:
    """Requests per second with an exponential window."""

    def __init__(self, now_s: float):
        self._count = 0.0
        self._at_s = now_s
        self._rate = 0.0

    def add(self) -> None:
        self._count += 1

    def rate(self, now_s: float) -> float:
        """Returns the rate; called about every tick."""
        passed_s = now_s - self._at_s
        if passed_s >= 0.1:
            part = min(1.0, passed_s / RATE_TAU_S)
            self._rate += part * (self._count / passed_s - self._rate)
            self._count = 0.0
            self._at_s = now_s
        return self._rate


class Quotas:
    """Admits requests within this VM's part of each limit."""

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
        self._meters: dict[str, _Meter] = {}
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._shares: dict[str, float] = {}

    def configure(self, window_s: float, over: float, slack: float) -> None:
        """Changes the tolerance; the arguments are those of the class."""
        self._window_s = window_s
        self._over = over
        self._slack = slack

    def _burst(self, organisation: organisation_module.Organisation) -> float:
        """Returns what all buckets of an organisation may hold together.

        The tolerance goes into the buckets: a burst that is dealt to many VMs
        in small parts would refuse requests that come in clumps.
        """
        allowed = organisation.rate_per_s * self._window_s + organisation.burst
        excess = self._over * allowed + self._slack
        return organisation.burst + TOLERANCE_USE * excess

    def admit(
        self,
        organisation: organisation_module.Organisation,
        expected_vms: int,
    ) -> float:
        """Takes a request into account.

        Args:
            organisation: Sender of the request.
            expected_vms: VMs that share the limit.

        Returns:
            0 if it may run, else the seconds until another one may.
        """
        now_s = self._clock()
        name = organisation.name
        meter = self._meters.get(name)
        if meter is None:
            meter = self._meters[name] = _Meter(now_s)
        meter.add()
        if organisation.rate_per_s <= 0:
            return 0.0
        share = self._shares.get(name, 1.0 / max(1, expected_vms))
        rate = organisation.rate_per_s * share
        capacity = max(1.0, self._burst(organisation) * share)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = token_bucket.TokenBucket(FIRST_PART * capacity, now_s)
        bucket = token_bucket.with_share(bucket, now_s, rate, capacity)
        bucket, taken = token_bucket.take(bucket, now_s, 1.0)
        self._buckets[name] = bucket
        if taken:
            return 0.0
        missing = 1.0 - token_bucket.available(bucket)
        return missing / max(rate, 1e-3)

    def give_back(self, organisation: str) -> None:
        """Returns the token of a request that did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            tokens = min(bucket.capacity, bucket.tokens + 1.0)
            self._buckets[organisation] = dataclasses.replace(
                bucket, tokens=tokens
            )

    def rates(self) -> dict[str, float]:
        """Returns the measured requests per second by organisation."""
        now_s = self._clock()
        return {
            name: round(rate, 2)
            for name, meter in self._meters.items()
            if (rate := meter.rate(now_s)) > 0.01
        }

    def share(self, peers: list[dict[str, float]], expected_vms: int) -> None:
        """Computes this VM's parts anew.

        Args:
            peers: Rates by organisation of each other live VM.
            expected_vms: VMs that share the limits.
        """
        own = self.rates()
        names = set(own)
        for rates in peers:
            names.update(rates)
        self._shares = {
            name: quota_share.share(
                own.get(name, 0.0),
                [rates.get(name, 0.0) for rates in peers],
                expected_vms,
            )
            for name in names
        }

"""Rate limits that upstreams name, and this VM's shares of them."""

import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping

from absl import logging

from bramleyworks.gateway import instance as instance_module
from bramleyworks.policy import token_bucket
from bramleyworks.policy import upstream_rate

# Time for which the end of a limit is reported; longer than a VM that lost
# datagrams needs to receive one of the reports.
ENDED_REPORT_S = 30.0
# Age up to which a VM reports a limit that was in a response to itself. The VMs
# with a share of the limit have newer ones.
OWN_REPORT_S = 5.0
# Age after which a limit of an upstream that is not registered any more is
# dropped. Registrations that lapsed in an outage come back sooner.
FORGET_AFTER_S = 120.0

# Start of the upstream in Unix ms, the limit in requests per second (None if it
# names none) and the age of the report in hundredths of a second.
Report = tuple[int, float | None, int]


@dataclasses.dataclass(slots=True)
class _Limit:
    """What is known about one upstream, and this VM's share.

    Attributes:
        started_ms: Start of the upstream; another one has its own limit.
        rate_per_s: The limit, None if the upstream names none.
        observed_s: Monotonic time of the response that says so.
        is_own: Whether that was a response to this VM.
        reported_until_s: Monotonic time until which its end is reported.
        bucket: Tokens for requests of this VM.
        share_per_s: This VM's share of the limit.
        divided_for: Number of the VM set for which the share was computed.
    """

    started_ms: int
    rate_per_s: float | None
    observed_s: float
    is_own: bool
    reported_until_s: float
    bucket: token_bucket.TokenBucket
    share_per_s: float = 0.0
    divided_for: int = -1


class RateLimits:
    """Limits by upstream, from its responses to any VM."""

    def __init__(self, clock: Callable[[], float]):
        """Initializes the limits, none at first.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._limits: dict[str, _Limit] = {}
        self._own_id = ""
        self._vms: dict[str, str] = {}
        self._vm_set = 0

    @property
    def is_empty(self) -> bool:
        """Whether no upstream has named a limit."""
        return not self._limits

    def update_vms(self, own_id: str, vms: Mapping[str, str]) -> None:
        """Updates the VMs among which limits are divided.

        Args:
            own_id: Id of this VM.
            vms: Region of each known VM by id.
        """
        if self._own_id != own_id or self._vms != vms:
            self._own_id = own_id
            self._vms = dict(vms)
            self._vm_set += 1

    def record(
        self, instance: instance_module.Instance, rate_per_s: float | None
    ) -> float | None:
        """Records the limit in a response to this VM; returns the former one.

        Args:
            instance: The upstream that responded.
            rate_per_s: The limit that it names, None if it names none.
        """
        before = self.rate_per_s(instance)
        if rate_per_s is not None or instance.id in self._limits:
            self._observe(
                instance.id,
                instance.started_ms,
                rate_per_s,
                self._clock(),
                True,
            )
        return before

    def rate_per_s(self, instance: instance_module.Instance) -> float | None:
        """Returns the limit that an upstream names, None for no limit."""
        limit = self._of(instance)
        return limit.rate_per_s if limit is not None else None

    def wait_s(self, instance: instance_module.Instance, region: str) -> float:
        """Returns the seconds until this VM may send to an upstream.

        Args:
            instance: The upstream.
            region: Its region.

        Returns:
            0 if it may send now, infinity if it has no share.
        """
        limit = self._of(instance)
        if limit is None:
            return 0.0
        self._divide(instance.id, limit, region)
        limit.bucket = token_bucket.advance(limit.bucket, self._clock())
        missing = 1.0 - token_bucket.available(limit.bucket)
        if missing <= 0.0:
            return 0.0
        if limit.share_per_s <= 0.0:
            return math.inf
        return missing / limit.share_per_s

    def share_per_s(
        self, instance: instance_module.Instance, region: str
    ) -> float:
        """Returns this VM's share of a limit, infinity if there is none."""
        limit = self._of(instance)
        if limit is None:
            return math.inf
        self._divide(instance.id, limit, region)
        return limit.share_per_s

    def take(self, instance: instance_module.Instance) -> None:
        """Takes the token of a request that is sent to an upstream."""
        limit = self._of(instance)
        if limit is not None:
            limit.bucket, _ = token_bucket.take(
                limit.bucket, self._clock(), 1.0
            )

    def own_reports(self) -> dict[str, Report]:
        """Returns the limits that this VM reports to its peers."""
        now_s = self._clock()
        oldest_s = now_s - OWN_REPORT_S
        return {
            name: _report(limit, now_s)
            for name, limit in self._limits.items()
            if limit.is_own
            and limit.rate_per_s is not None
            and limit.observed_s >= oldest_s
            or now_s < limit.reported_until_s
        }

    def reports(self, names: Iterable[str]) -> dict[str, Report]:
        """Returns what any VM reported about some upstreams."""
        now_s = self._clock()
        return {
            name: _report(limit, now_s)
            for name in names
            if (limit := self._limits.get(name)) is not None
            and (limit.rate_per_s is not None or now_s < limit.reported_until_s)
        }

    def forget(self, registered: Container[str]) -> None:
        """Drops old limits of upstreams that are not registered any more."""
        oldest_s = self._clock() - FORGET_AFTER_S
        for name, limit in list(self._limits.items()):
            if limit.observed_s < oldest_s and name not in registered:
                del self._limits[name]

    def record_reports(self, reports: Mapping[str, Report]) -> None:
        """Records the reports of a peer that are newer than what is known."""
        now_s = self._clock()
        for name, (started_ms, rate_per_s, hundredths) in reports.items():
            observed_s = now_s - hundredths / 100
            known = self._limits.get(name)
            if known is None and rate_per_s is None:
                continue
            if known is not None and (
                known.started_ms > started_ms
                or known.started_ms == started_ms
                and known.observed_s >= observed_s
            ):
                if rate_per_s != known.rate_per_s:
                    # The peer has missed the end of the limit.
                    known.reported_until_s = now_s + ENDED_REPORT_S
                continue
            if known is None or known.rate_per_s != rate_per_s:
                logging.info(
                    "upstream %s names a limit of %s requests/s, says a peer",
                    name,
                    rate_per_s,
                )
            self._observe(name, started_ms, rate_per_s, observed_s, False)

    def _of(self, instance: instance_module.Instance) -> _Limit | None:
        """Returns the limit in force for an upstream, None if there is none."""
        limit = self._limits.get(instance.id)
        if (
            limit is None
            or limit.rate_per_s is None
            or limit.started_ms != instance.started_ms
        ):
            return None
        return limit

    def _observe(
        self,
        name: str,
        started_ms: int,
        rate_per_s: float | None,
        observed_s: float,
        is_own: bool,
    ) -> None:
        now_s = self._clock()
        known = self._limits.get(name)
        if known is None or known.started_ms != started_ms:
            # The level is random so that the VMs' first requests do not arrive
            # at the same moment.
            bucket = token_bucket.TokenBucket(
                random.random(), now_s, capacity=1.0
            )
            known = _Limit(started_ms, None, observed_s, is_own, 0.0, bucket)
            self._limits[name] = known
        if known.rate_per_s != rate_per_s:
            known.reported_until_s = now_s + ENDED_REPORT_S
            known.divided_for = -1
        known.rate_per_s = rate_per_s
        known.observed_s = observed_s
        known.is_own = is_own

    def _divide(self, name: str, limit: _Limit, region: str) -> None:
        """Computes this VM's share if limit or VMs have changed."""
        if limit.divided_for == self._vm_set:
            return
        limit.divided_for = self._vm_set
        rates = upstream_rate.divide(
            name,
            limit.rate_per_s or 0.0,
            region,
            self._vms or {self._own_id: region},
        )
        limit.share_per_s = rates.get(self._own_id, 0.0)
        limit.bucket = token_bucket.with_share(
            limit.bucket,
            self._clock(),
            limit.share_per_s,
            upstream_rate.capacity(limit.share_per_s),
        )


def _report(limit: _Limit, now_s: float) -> Report:
    age_s = now_s - limit.observed_s
    return limit.started_ms, limit.rate_per_s, round(100 * age_s)

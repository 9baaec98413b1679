"""State of an upstream as seen by this VM, and its connection pool."""

import asyncio
import collections
import contextlib
import math
import random
from collections.abc import Callable

from absl import logging

from bramleyworks import errors
from bramleyworks.gateway import instance as instance_module
from bramleyworks.gateway import load_report
from bramleyworks.gateway import upstream_conn
from bramleyworks.gateway import upstream_response
from bramleyworks.gateway import upstream_wishes
from bramleyworks.platform import header_names
from bramleyworks.policy import outlier_detection
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import token_bucket
from bramleyworks.policy import upstream_health
from bramleyworks.policy import work_factor

# Idle time after which a connection is not reused if the upstream announces no
# keep-alive timeout.
MAX_IDLE_S = 8.0
# The same for non-idempotent requests. It is shorter because the outcome is
# unknown if the upstream closes the connection while a request is being sent.
MAX_IDLE_NON_IDEMPOTENT_S = 4.0
# Margin before the keep-alive timeout that an upstream announces.
IDLE_MARGIN_S = 1.0
# Enough for two round trips between regions; slower attempts rarely succeed.
CONNECT_TIMEOUT_S = 0.3
# The same for a health check, with time for its response.
HEALTH_CHECK_TIMEOUT_S = 0.25
# Step of errors of connections that could not be opened.
CONNECT_STEP = "upstream.connect"
# Time constant of the decay of a reported load.
LOAD_DECAY_S = 1.0
# Weight of one response in the moving average of an upstream's slowness.
SLOWNESS_SMOOTHING = 0.15
SLOWNESS_RANGE = (0.5, 10.0)
# Minimum slowness of an upstream that fills its caches after a start.
COLD_SLOWNESS = 2.0
# Objects that an upstream is assumed to have cached after serving them, and for
# how long. Upstream caches have about this capacity.
MAX_CACHED_OBJECTS = 64
CACHED_OBJECT_TTL_S = 30.0
# Times of requests that are kept; an upstream of 4 slots has 16 at most.
MAX_SENT_TIMES = 64
# Backoff after an upstream shed a request.
SHED_BACKOFF_S = 0.1


class Upstream:
    """State of an upstream and its pool of idle connections.

    Attributes:
        instance: Its registration.
        in_flight: Requests in flight from this VM.
        peers_in_flight: Requests in flight from other VMs, as reported in
            heartbeats.
        health: Outlier detection state.
        is_silent: Whether the latest failure may be due to the link.
        last_response_s: Monotonic time in seconds at which it last responded.
        first_seen_s: Monotonic time in seconds at which it was first seen.
        has_work_factor: Whether it reports how long work takes on its machine.
    """

    def __init__(
        self,
        instance: instance_module.Instance,
        wishes: upstream_wishes.UpstreamWishes,
        clock: Callable[[], float],
    ):
        """Initializes the state with no observations.

        Args:
            instance: Its registration.
            wishes: What upstreams said about further requests.
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._last_accepted_s = -math.inf
        self.instance = instance
        self.in_flight = 0
        self.peers_in_flight = 0.0
        self.last_response_s = -math.inf
        self.first_seen_s = clock()
        self.health = upstream_health.UpstreamHealth()
        self.is_silent = False
        self._wishes = wishes
        self._reported_others = 0.0
        self._reported_s = -math.inf
        # Load and time of the latest report to this VM, and to any VM.
        self._own_report = load_report.LoadReport()
        self._latest_report = load_report.LoadReport()
        self.has_work_factor = False
        # The latest known factor and the monotonic time of its report.
        self._work_factor = work_factor.USUAL
        self._work_factor_s = -math.inf
        # Times at which this VM sent requests, the latest at the end.
        self._sent_s: collections.deque[float] = collections.deque(
            maxlen=MAX_SENT_TIMES
        )
        self._slowness = 1.0
        self._cold_until_s = -math.inf
        self._cold_bucket = token_bucket.create(clock())
        self._backoff_until_s = -math.inf
        self._cached_objects: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._conns: list[upstream_conn.UpstreamConn] = []
        self._record_registered_cold_time()

    @property
    def last_contact_s(self) -> float:
        """Time at which it last responded or accepted a connectivity check."""
        return max(self.last_response_s, self._last_accepted_s)

    @property
    def is_cold(self) -> bool:
        """Whether its cold start is not over."""
        return self._clock() < self._cold_until_s

    @property
    def is_excluded(self) -> bool:
        """Whether it is excluded and no half-open probe is due."""
        return (
            self.health.excluded
            and self._clock() < self.health.next_half_open_s
        )

    @property
    def may_be_probed(self) -> bool:
        """Whether it wants requests, so that a health check is welcome."""
        return not (
            self.instance.is_draining or self.is_leaving or self.pause_s
        )

    @property
    def is_backing_off(self) -> bool:
        """Whether it shed a request a moment ago."""
        return self._clock() < self._backoff_until_s

    @property
    def is_leaving(self) -> bool:
        """Whether a response said that it leaves."""
        return self._wishes.is_leaving(self.instance)

    @property
    def pause_s(self) -> float:
        """Seconds for which it still wants no request of this VM."""
        return self._wishes.pause_s(self.instance)

    @property
    def slowness(self) -> float:
        """Its latency relative to a typical upstream."""
        return max(self._slowness, COLD_SLOWNESS if self.is_cold else 0.0)

    @property
    def reported_factor(self) -> tuple[float, float]:
        """The factor that it last reported and the age of the report."""
        return self._work_factor, self._clock() - self._work_factor_s

    @property
    def is_busy(self) -> bool:
        """Whether its machine is expected to take longer than usual."""
        return not work_factor.is_usual(
            work_factor.expected(*self.reported_factor)
        )

    def register(self, instance: instance_module.Instance) -> None:
        """Stores a newer registration; a restart resets the observations."""
        if instance.started_ms != self.instance.started_ms:
            self.health = upstream_health.UpstreamHealth()
            self._slowness = 1.0
            self._reported_others = 0.0
            # Reports from before the restart are dropped, also those that
            # other VMs still pass on.
            self._reported_s = self._clock()
            self._own_report = self._latest_report = load_report.LoadReport()
            self.has_work_factor = False
            self._work_factor = work_factor.USUAL
            self._cached_objects.clear()
            self.close()
        self.instance = instance
        self._record_registered_cold_time()

    def _record_registered_cold_time(self) -> None:
        # A registration without such a time says nothing.
        if self.instance.cold_left_s > 0:
            self.record_cold_time(self.instance.cold_left_s)

    def record_cold_time(self, remaining_s: float) -> None:
        """Records the remaining time of its cold start, 0 if it is over."""
        self._cold_until_s = self._clock() + remaining_s

    def load(self) -> float:
        """Returns the estimated number of its running and queued requests."""
        age_s = self._clock() - self._reported_s
        reported = self._reported_others * math.exp(-age_s / LOAD_DECAY_S)
        return self.in_flight + max(reported, self.peers_in_flight)

    def record_sent(self) -> None:
        """Records that this VM sends it a request now."""
        self._sent_s.append(self._clock())

    def record_load(
        self, running: int, waiting: int, factor: float | None = None
    ) -> None:
        """Records the load that it reported in a response.

        The report no longer includes the request that it responds to;
        ``in_flight`` still does.
        """
        load = running + waiting
        self._reported_others = max(0.0, load - self.in_flight + 1.0)
        self._reported_s = self._clock()
        if factor is not None:
            self.has_work_factor = True
            self._work_factor = factor
            self._work_factor_s = self._reported_s
        self._own_report = self._latest_report = load_report.LoadReport(
            load, self._reported_s, factor
        )

    def record_peer_load(
        self, load: int, age_s: float, factor: float | None = None
    ) -> None:
        """Records the load that it reported to another VM.

        Args:
            load: Running and queued requests.
            age_s: Age of the report.
            factor: How long work took, relative to the usual time; None if the
                other VM does not say.
        """
        reported_s = self._clock() - age_s
        if reported_s <= self._reported_s:
            return
        if factor is not None and not work_factor.is_usual(factor):
            self.has_work_factor = True
        included = self.in_flight
        if self.has_work_factor:
            # The report can not include requests that were sent after it.
            included -= min(included, self._sent_count_since(reported_s))
        self._reported_others = max(0.0, load - included)
        self._reported_s = reported_s
        if factor is not None:
            self._work_factor = factor
            self._work_factor_s = reported_s
        self._latest_report = load_report.LoadReport(load, reported_s, factor)

    def _sent_count_since(self, since_s: float) -> int:
        return sum(1 for at_s in self._sent_s if at_s > since_s)

    def report_since(
        self, since_s: float, own_only: bool
    ) -> load_report.LoadReport | None:
        """Returns its latest load report.

        Args:
            since_s: Monotonic time after which it was reported.
            own_only: Whether to ignore reports to other VMs.

        Returns:
            None if there is no such report.
        """
        report = self._own_report if own_only else self._latest_report
        return report if report.at_s > since_s else None

    def has_cached(self, object_key: str) -> bool:
        """Returns whether it has an object cached that it served recently."""
        at_s = self._cached_objects.get(object_key)
        return at_s is not None and self._clock() - at_s < CACHED_OBJECT_TTL_S

    def record_object(self, object_key: str) -> None:
        """Records that it served an object."""
        self._cached_objects[object_key] = self._clock()
        self._cached_objects.move_to_end(object_key)
        if len(self._cached_objects) > MAX_CACHED_OBJECTS:
            self._cached_objects.popitem(last=False)

    def record_shed(self) -> None:
        """Records that it shed a request and starts a short backoff."""
        now_s = self._clock()
        self.last_response_s = now_s
        self._backoff_until_s = now_s + SHED_BACKOFF_S

    def record_latency(
        self,
        work_s: float,
        expected_s: float,
        factor: float = work_factor.USUAL,
    ) -> None:
        """Updates its slowness with the processing time of a request.

        Args:
            work_s: Time from sending the request to receiving the head, less
                the round trip.
            expected_s: The same as expected from a typical upstream.
            factor: How long work took on its machine at that time, relative to
                the usual time. It explains a part of ``work_s`` that would
                count twice if it were also part of the slowness.
        """
        self.last_response_s = self._clock()
        low, high = SLOWNESS_RANGE
        ratio = min(high, max(low, work_s / factor / max(expected_s, 1e-3)))
        self._slowness += SLOWNESS_SMOOTHING * (ratio - self._slowness)

    def record_outcome(
        self, failed: bool, is_half_open: bool, is_silent: bool = False
    ) -> None:
        """Updates outlier detection with the outcome of a request.

        Args:
            failed: Whether the upstream failed the request.
            is_half_open: Whether it was a half-open probe.
            is_silent: Whether nothing came back, as when the link is down.
        """
        self.is_silent = failed and is_silent
        outcome = (
            slot_outcome.SlotOutcome.FAILED
            if failed
            else slot_outcome.SlotOutcome.OK
        )
        was_out = self.health.excluded
        self.health = outlier_detection.after_result(
            self.health, outcome, is_half_open, self._clock()
        )
        if self.health.excluded != was_out:
            logging.info(
                "upstream %s %s after %d failures",
                self.instance.id,
                "excluded" if self.health.excluded else "readmitted",
                self.health.failures,
            )

    def record_crash(self) -> None:
        """Excludes it at once; a registration of a later start ends that."""
        self.close()
        self.health = outlier_detection.after_crash(self.health, self._clock())
        logging.info("upstream %s excluded, it ended", self.instance.id)

    def readmit(self) -> None:
        """Readmits it after this VM alone had lost its links."""
        self.health = upstream_health.UpstreamHealth(readmitted_s=self._clock())
        logging.info("upstream %s readmitted", self.instance.id)

    def has_cold_token(self, rate_per_s: float) -> bool:
        """Returns whether a request may be sent during its cold start.

        Args:
            rate_per_s: This VM's share of the tolerated request rate.
        """
        now_s = self._clock()
        unused_s = now_s - self._cold_bucket.updated_s
        if self._cold_bucket.capacity == 0 or unused_s * rate_per_s > 1.0:
            # At first, and after a time without requests, the level is random.
            # With full buckets all VMs would send their first requests within
            # the same second; with empty ones no request would come for a
            # while.
            level = random.random()
            self._cold_bucket = token_bucket.TokenBucket(level, now_s)
        self._cold_bucket = token_bucket.with_share(
            self._cold_bucket, now_s, rate_per_s, 1.0
        )
        return token_bucket.available(self._cold_bucket) >= 1.0

    def take_cold_token(self, rate_per_s: float) -> bool:
        """Takes a token for a request that is sent during its cold start.

        Args:
            rate_per_s: This VM's share of the tolerated request rate.

        Returns:
            Whether a token was available.
        """
        if not self.has_cold_token(rate_per_s):
            return False
        self._cold_bucket, taken = token_bucket.take(
            self._cold_bucket, self._clock(), 1.0
        )
        return taken

    def begin_half_open(self) -> None:
        """Starts a half-open probe, which blocks other requests meanwhile."""
        self.health = outlier_detection.after_half_open_start(
            self.health, self._clock()
        )

    async def connect(self, non_idempotent: bool) -> upstream_conn.UpstreamConn:
        """Returns an idle connection from the pool or a new one.

        Args:
            non_idempotent: Whether the request must not run twice.

        Raises:
            errors.UpstreamError: No connection could be opened; nothing was
                sent.
        """
        now_s = self._clock()
        max_idle_s = MAX_IDLE_NON_IDEMPOTENT_S if non_idempotent else MAX_IDLE_S
        while self._conns:
            conn = self._conns.pop()
            idle_limit_s = max_idle_s
            if conn.idle_timeout_s is not None:
                idle_limit_s = min(
                    idle_limit_s, conn.idle_timeout_s - IDLE_MARGIN_S
                )
            if conn.is_usable and now_s - conn.idle_since <= idle_limit_s:
                return conn
            if non_idempotent and conn.is_usable:
                # Older ones may still serve idempotent requests.
                self._conns.append(conn)
                break
            conn.abort()
        return await self._open()

    async def _open(self) -> upstream_conn.UpstreamConn:
        loop = asyncio.get_running_loop()
        name = self.instance.id
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    lambda: upstream_conn.UpstreamConn(name),
                    self.instance.host,
                    self.instance.port,
                )
        except (TimeoutError, OSError) as exc:
            raise errors.UpstreamError(
                CONNECT_STEP,
                name,
                str(exc) or type(exc).__name__,
                not_run=True,
            ) from exc
        return conn

    async def refuses_connections(self) -> bool:
        """Returns whether nothing listens at its address."""
        try:
            conn = await self._open()
        except errors.UpstreamError as exc:
            return isinstance(exc.__cause__, ConnectionRefusedError)
        conn.abort()
        return False

    async def is_reachable(self) -> bool:
        """Returns whether it accepts a new connection."""
        try:
            conn = await self._open()
        except errors.UpstreamError:
            return False
        self._last_accepted_s = self._clock()
        self.release(conn)
        return True

    def record_response(self) -> None:
        """Records that it responded just now."""
        self.last_response_s = self._clock()

    async def check_health(
        self, health_path: str, timeout_s: float
    ) -> upstream_response.UpstreamResponse | None:
        """Returns its response to a health check, with any status.

        A process that stands still accepts connections, but does not respond.

        Args:
            health_path: Path of the health check.
            timeout_s: Time for a connection and the response in seconds.

        Returns:
            None if there is no response, or another upstream sent it.
        """
        host = f"{self.instance.host}:{self.instance.port}"
        head = f"GET {health_path} HTTP/1.1\r\nhost: {host}\r\n\r\n"
        async with contextlib.AsyncExitStack() as stack:
            try:
                async with asyncio.timeout(timeout_s):
                    conn = await self.connect(False)
                    stack.callback(self.release, conn)
                    res = conn.start(head.encode(), b"", False, False)
                    await res.wait_head()
                    while await res.read():
                        pass
            except (TimeoutError, errors.UpstreamError) as exc:
                logging.debug("no health check of %s: %r", host, exc)
                return None
        named = res.get(header_names.UPSTREAM_ID)
        if named not in (None, self.instance.id.encode()):
            return None
        return res

    def release(self, conn: upstream_conn.UpstreamConn) -> None:
        """Returns a connection to the pool, or closes it."""
        if conn.is_usable and not self.instance.is_draining:
            conn.idle_since = self._clock()
            self._conns.append(conn)
        else:
            conn.abort()

    def close_idle(self) -> None:
        """Closes connections that have been idle longer than ``MAX_IDLE_S``."""
        if not self._conns:
            return
        limit = self._clock() - MAX_IDLE_S
        remaining = []
        for conn in self._conns:
            if conn.is_usable and conn.idle_since >= limit:
                remaining.append(conn)
            else:
                conn.abort()
        self._conns = remaining

    def close(self) -> None:
        """Closes all idle connections."""
        for conn in self._conns:
            conn.abort()
        self._conns.clear()

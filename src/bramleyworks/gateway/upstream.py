"""What this VM knows about one upstream, and its connections to it."""

import asyncio
import collections
import math
import random
from collections.abc import Callable

from absl import logging

from bramleyworks import errors
from bramleyworks.gateway import instance as instance_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.policy import outlier_detection
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import token_bucket
from bramleyworks.policy import upstream_health

# Idle time after which a connection is not used again when the upstream says
# nothing about its own limit.
MAX_IDLE_S = 8.0
# The same for requests that must not run twice: a connection that the
# upstream closes as they are sent leaves their outcome unknown.
MAX_IDLE_NON_IDEMPOTENT_S = 4.0
# Margin before the end that an upstream announces for an idle connection.
IDLE_MARGIN_S = 1.0
# A connection is set up within two round trips between regions or not soon.
CONNECT_TIMEOUT_S = 0.3
# Time constant with which a told load loses its meaning.
LOAD_DECAY_S = 1.0
# Weight of one answer in the estimate of an upstream's speed.
SLOWNESS_SMOOTHING = 0.15
SLOWNESS_RANGE = (0.5, 10.0)
# Slowness while an upstream fills its caches after a start.
COLD_SLOWNESS = 2.0
# Objects that an upstream is taken to hold after it has served them, and for
# how long; caches of upstreams hold about this many.
MAX_CACHED_OBJECTS = 64
CACHED_OBJECT_TTL_S = 30.0
# Rest after an upstream refused a request for want of room.
SHED_BACKOFF_S = 0.1


class Upstream:
    """State of one upstream.

    Attributes:
        instance: Its registration.
        in_flight: Requests of this VM that it runs.
        peers_in_flight: Requests of other VMs that it runs, by heartbeats.
        health: Evidence of failures.
        heard_s: When it last answered anything.
        joined_s: When it was first seen.
    """

    def __init__(
        self, instance: instance_module.Instance, clock: Callable[[], float]
    ):
        """Starts without any evidence.

        Args:
            instance: Its registration.
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self.instance = instance
        self.in_flight = 0
        self.peers_in_flight = 0.0
        self.last_response_s = -math.inf
        self.first_seen_s = clock()
        self.health = upstream_health.UpstreamHealth()
        self._reported_others = 0.0
        self._reported_s = -math.inf
        # What it told, to this VM itself and to any.
        self._own_report: tuple[int, float] = (0, -math.inf)
        self._latest_report: tuple[int, float] = (0, -math.inf)
        self._slowness = 1.0
        self._cold_until_s = -math.inf
        self._cold_bucket = token_bucket.create(clock())
        self._backoff_until_s = -math.inf
        self._cached_objects: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._conns: list[upstream_conn.UpstreamConn] = []
        self.record_cold_time(instance.cold_left_s)

    @property
    def is_cold(self) -> bool:
        """Whether it still fills its caches."""
        return self._clock() < self._cold_until_s

    @property
    def is_excluded(self) -> bool:
        """Whether failures exclude it for now."""
        return (
            self.health.excluded
            and self._clock() < self.health.next_half_open_s
        )

    @property
    def is_backing_off(self) -> bool:
        """Whether it has just refused a request for want of room."""
        return self._clock() < self._backoff_until_s

    @property
    def slowness(self) -> float:
        """Its latency relative to what is usual."""
        return max(self._slowness, COLD_SLOWNESS if self.is_cold else 0.0)

    def register(self, instance: instance_module.Instance) -> None:
        """Takes a newer registration; a restart clears all evidence."""
        if instance.started_ms != self.instance.started_ms:
            self.health = upstream_health.UpstreamHealth()
            self._slowness = 1.0
            self._reported_others = 0.0
            self._cached_objects.clear()
            self.close()
        self.instance = instance
        self.record_cold_time(instance.cold_left_s)

    def record_cold_time(self, left_s: float) -> None:
        """Takes the time for which it says it stays cold."""
        if left_s > 0:
            self._cold_until_s = self._clock() + left_s

    def load(self) -> float:
        """Returns the requests that it runs or queues, by best estimate."""
        age_s = self._clock() - self._reported_s
        told = self._reported_others * math.exp(-age_s / LOAD_DECAY_S)
        return self.in_flight + max(told, self.peers_in_flight)

    def record_load(self, running: int, waiting: int) -> None:
        """Takes the load that it tells with an answer.

        The answered request no longer counts there, but still in
        ``in_flight``.
        """
        load = running + waiting
        self._reported_others = max(0.0, load - self.in_flight + 1.0)
        self._reported_s = self._clock()
        self._own_report = self._latest_report = (load, self._reported_s)

    def record_peer_load(self, load: int, age_s: float) -> None:
        """Takes the load that it told another VM some time ago."""
        told_s = self._clock() - age_s
        if told_s <= self._reported_s:
            return
        self._reported_others = max(0.0, load - self.in_flight)
        self._reported_s = told_s
        self._latest_report = (load, told_s)

    def reported_load_since(
        self, since_s: float, own_only: bool
    ) -> tuple[int, float] | None:
        """Returns the load that it told last and the age of that in seconds.

        Args:
            since_s: Monotonic time after which it has to have told it.
            own_only: Whether only what it told this VM itself counts.

        Returns:
            None if it has told nothing since.
        """
        load, at_s = self._own_report if own_only else self._latest_report
        return (load, self._clock() - at_s) if at_s > since_s else None

    def has_cached(self, object_key: str) -> bool:
        """Returns whether it has served an object to this VM lately."""
        at_s = self._cached_objects.get(object_key)
        return at_s is not None and self._clock() - at_s < CACHED_OBJECT_TTL_S

    def record_object(self, object_key: str) -> None:
        """Takes that it has served an object."""
        self._cached_objects[object_key] = self._clock()
        self._cached_objects.move_to_end(object_key)
        if len(self._cached_objects) > MAX_CACHED_OBJECTS:
            self._cached_objects.popitem(last=False)

    def record_shed(self) -> None:
        """Takes a refusal for want of room."""
        now_s = self._clock()
        self.last_response_s = now_s
        self._backoff_until_s = now_s + SHED_BACKOFF_S

    def record_latency(self, work_s: float, expected_s: float) -> None:
        """Takes the time that it worked on a request.

        Args:
            work_s: Time from sending to the head, less the round trip.
            expected_s: The same as expected from a usual upstream.
        """
        self.last_response_s = self._clock()
        low, high = SLOWNESS_RANGE
        ratio = min(high, max(low, work_s / max(expected_s, 1e-3)))
        self._slowness += SLOWNESS_SMOOTHING * (ratio - self._slowness)

    def record_outcome(self, failed: bool, is_half_open: bool) -> None:
        """Takes how a request ended."""
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

    def take_cold_token(self, rate_per_s: float) -> bool:
        """Returns whether a cold upstream may get one more request.

        Args:
            rate_per_s: This VM's part of what it tolerates.
        """
        now_s = self._clock()
        if self._cold_bucket.capacity == 0:
            # VMs that all began with a token would send their first requests
            # within the same second; with empty buckets none would come soon.
            level = random.random()
            self._cold_bucket = token_bucket.TokenBucket(level, now_s)
        self._cold_bucket = token_bucket.with_share(
            self._cold_bucket, now_s, rate_per_s, 1.0
        )
        self._cold_bucket, taken = token_bucket.take(
            self._cold_bucket, now_s, 1.0
        )
        return taken

    def begin_half_open(self) -> None:
        """Holds other requests back while one tries an excluded upstream."""
        self.health = outlier_detection.after_half_open_start(
            self.health, self._clock()
        )

    async def connect(self, non_idempotent: bool) -> upstream_conn.UpstreamConn:
        """Returns a connection that is free.

        Args:
            unsafe: Whether the request must not run twice.

        Raises:
            errors.UpstreamError: None could be opened; nothing was sent.
        """
        now_s = self._clock()
        longest_s = MAX_IDLE_NON_IDEMPOTENT_S if non_idempotent else MAX_IDLE_S
        while self._conns:
            conn = self._conns.pop()
            limit_s = longest_s
            if conn.idle_timeout_s is not None:
                limit_s = min(limit_s, conn.idle_timeout_s - IDLE_MARGIN_S)
            if conn.is_usable and now_s - conn.idle_since <= limit_s:
                return conn
            if non_idempotent and conn.is_usable:
                # Older ones may still serve requests that can be repeated.
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
                "upstream.connect",
                name,
                str(exc) or type(exc).__name__,
                not_run=True,
            ) from exc
        return conn

    async def is_reachable(self) -> bool:
        """Returns whether it still accepts connections."""
        try:
            conn = await self._open()
        except errors.UpstreamError:
            return False
        self.last_response_s = self._clock()
        self.release(conn)
        return True

    def release(self, conn: upstream_conn.UpstreamConn) -> None:
        """Keeps a connection for another request, or closes it."""
        if conn.is_usable and not self.instance.is_draining:
            conn.idle_since = self._clock()
            self._conns.append(conn)
        else:
            conn.abort()

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long."""
        limit = self._clock() - MAX_IDLE_S
        kept = []
        for conn in self._conns:
            if conn.is_usable and conn.idle_since >= limit:
                kept.append(conn)
            else:
                conn.abort()
        self._conns = kept

    def close(self) -> None:
        """Closes all idle connections."""
        for conn in self._conns:
            conn.abort()
        self._conns.clear()

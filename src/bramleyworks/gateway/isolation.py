"""Detects that this VM is cut off from all upstreams, and when it is back."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterator

from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import reported_state
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.policy import isolation

# Upstreams that are probed in one round.
PROBES_PER_ROUND = 4
# Upstreams that are probed besides if none of the first ones responds. Several
# upstreams may be down at once.
SECOND_PROBES = 8
# A probe waits for a slot like any request.
PROBE_TIMEOUT_S = 0.5
# Shortest time from the end of a round without a response to the next one.
PROBE_INTERVAL_S = 0.3
# Upstreams that are probed at once after the links work again, and rounds
# until the rest is left to half-open probes.
RECOVERY_PROBES = 4
RECOVERY_ROUNDS = 5
# Interval at which upstreams are probed that respond to other VMs only.
SILENT_PROBE_INTERVAL_S = 1.0
# Step of errors of attempts that were given up because of isolation.
ISOLATED_STEP = "upstream.isolated"


@dataclasses.dataclass(eq=False, slots=True)
class _OpenAttempt:
    """An attempt that waits for its response.

    Attributes:
        upstream_id: Id of its upstream.
        conn: Its connection.
        sent_s: Monotonic time of its start in seconds.
        overdue_s: Monotonic time in seconds at which it is overdue.
        may_repeat: Whether its request may be sent again.
    """

    upstream_id: str
    conn: upstream_conn.UpstreamConn
    sent_s: float
    overdue_s: float
    may_repeat: bool


class Isolation:
    """Suspects, probes and recovers.

    The VM is isolated while no probed upstream responds, whether the links or
    the upstreams are down; other VMs tell which.

    Attributes:
        is_isolated: Whether no upstream is reached.
        last_contact_s: Monotonic time of the last response of any upstream in
            seconds.
    """

    def __init__(
        self,
        cluster: cluster_state_module.ClusterState,
        notify_peers: Callable[[], None],
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Initializes the detector.

        Args:
            cluster: Configuration and upstreams as known to this VM.
            notify_peers: Sends the next heartbeat early.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self.is_isolated = False
        self._cluster = cluster
        self._reported_state = reported_state.ReportedState(cluster)
        self._notify_peers = notify_peers
        self._log = log
        self._clock = clock
        self.last_contact_s = clock()
        self._contacts: dict[str, float] = {}
        # Upstreams that failed since the last response of any.
        self._failed: set[str] = set()
        self._open: set[_OpenAttempt] = set()
        self._round: asyncio.Task[bool | None] | None = None
        self._watch: asyncio.Task | None = None
        self._recovery: asyncio.Task | None = None
        self._silent_round: asyncio.Task | None = None
        self._next_probe = 0
        self._silent_probed_s = clock()

    @property
    def is_settled(self) -> bool:
        """Whether what this VM sees of upstreams tells of them."""
        return not self.is_isolated and self._recovery is None

    def close(self) -> None:
        """Cancels all probes."""
        for task in (
            self._round,
            self._watch,
            self._recovery,
            self._silent_round,
        ):
            if task is not None:
                task.cancel()

    def contact_ages(self) -> dict[str, float]:
        """Returns the seconds since an upstream responded, by service."""
        now_s = self._clock()
        return {
            service: now_s - at_s
            for service, at_s in self._contacts.items()
            if now_s - at_s <= isolation.CONTACT_TTL_S
        }

    def record_contact(self, service: str) -> None:
        """Records a response of an upstream."""
        self.last_contact_s = self._contacts[service] = self._clock()
        self._failed.clear()
        if self.is_isolated:
            self._end()

    def record_failure(self, upstream_id: str, started_s: float) -> None:
        """Records an attempt that broke off or could not connect.

        Args:
            upstream_id: Id of its upstream.
            started_s: Monotonic time of its start in seconds.
        """
        if started_s >= self.last_contact_s:
            self._failed.add(upstream_id)
            self.check()

    @contextlib.contextmanager
    def observe(
        self,
        upstream: upstream_module.Upstream,
        conn: upstream_conn.UpstreamConn,
        expected_s: float,
        may_repeat: bool,
    ) -> Iterator[None]:
        """Observes an attempt while it waits for the head of its response.

        Args:
            upstream: Its upstream.
            conn: Its connection, which fails when this VM is isolated and the
                request may be sent again.
            expected_s: Expected latency in seconds.
            may_repeat: Whether the request may be sent again.
        """
        now_s = self._clock()
        attempt = _OpenAttempt(
            upstream.instance.id,
            conn,
            now_s,
            now_s + isolation.overdue_after_s(expected_s),
            may_repeat,
        )
        self._open.add(attempt)
        try:
            yield
        finally:
            self._open.discard(attempt)

    def check(self) -> None:
        """Starts to probe if the VM may be cut off; called at each tick."""
        if self.is_isolated:
            self._give_up_overdue()
        if self._watch is not None:
            return
        if self.is_settled:
            self._probe_silent()
        now_s = self._clock()
        failed = self._failed | {
            a.upstream_id
            for a in self._open
            if a.overdue_s <= now_s and a.sent_s > self.last_contact_s
        }
        quiet_s = now_s - self.last_contact_s
        if self.is_isolated or isolation.is_suspect(len(failed), quiet_s):
            self._watch = asyncio.create_task(self._watch_links())
            self._watch.add_done_callback(self._forget_watch)

    def _probe_silent(self) -> None:
        """Probes upstreams that respond to other VMs, but not to this one.

        A link to them was down. One that fails requests, or has ended, is left
        to half-open probes.
        """
        since_s = self._clock() - SILENT_PROBE_INTERVAL_S
        if self._silent_probed_s > since_s:
            return
        self._silent_probed_s = self._clock()
        found = [
            u
            for u in self._cluster.registry.all()
            if u.health.excluded
            and u.is_silent
            and u.may_be_probed
            and u.report_since(since_s, own_only=False) is not None
        ]
        if found:
            random.shuffle(found)
            self._silent_round = asyncio.create_task(
                self._readmit_from(iter(found[:RECOVERY_PROBES]))
            )

    async def probe(self) -> bool | None:
        """Returns whether any of some upstreams responds to a health check.

        A response to a request counts as well if it comes meanwhile. Concurrent
        calls share one round.

        Returns:
            None if there is no upstream that may be asked.
        """
        if self._round is None:
            self._round = asyncio.create_task(self._run_round())
            self._round.add_done_callback(self._forget_round)
        return await asyncio.shield(self._round)

    def _forget_round(self, _: asyncio.Task) -> None:
        self._round = None

    def _forget_watch(self, _: asyncio.Task) -> None:
        self._watch = None

    def _forget_recovery(self, _: asyncio.Task) -> None:
        self._recovery = None

    async def _watch_links(self) -> None:
        """Probes until an upstream responds."""
        while True:
            if await self.probe() is not False:
                if self.is_isolated:
                    self._end()
                return
            if not self.is_isolated:
                self._begin()
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _run_round(self) -> bool | None:
        """Probes a few upstreams; more before the VM counts as isolated."""
        started_s = self._clock()
        ranked = self._rank_probed()
        if not ranked:
            return None
        if self.is_isolated:
            start = self._next_probe % len(ranked)
            self._next_probe += PROBES_PER_ROUND
            ranked = ranked[start:] + ranked[:start]
        has_response = await self._any_responds(ranked[:PROBES_PER_ROUND])
        if not has_response and not self.is_isolated:
            has_response = await self._any_responds(
                ranked[PROBES_PER_ROUND : PROBES_PER_ROUND + SECOND_PROBES]
            )
        return has_response or self.last_contact_s > started_s

    async def _any_responds(
        self, upstreams: list[upstream_module.Upstream]
    ) -> bool:
        async with contextlib.AsyncExitStack() as stack:
            tasks = {asyncio.create_task(self._probe(u)) for u in upstreams}
            for task in tasks:
                stack.callback(task.cancel)
            for finished in asyncio.as_completed(tasks):
                if await finished:
                    return True
        return False

    async def _probe(self, upstream: upstream_module.Upstream) -> bool:
        is_up = await self._reported_state.check_health(
            upstream, PROBE_TIMEOUT_S
        )
        if is_up:
            self.record_contact(upstream.instance.service)
        return is_up

    def _rank_probed(self) -> list[upstream_module.Upstream]:
        """Returns the upstreams to ask, the likeliest to respond first.

        One of each failure domain comes before the others.
        """
        ranked = sorted(
            (u for u in self._cluster.registry.all() if u.may_be_probed),
            key=lambda u: (u.health.excluded, -u.last_response_s),
        )
        by_domain: dict[str, upstream_module.Upstream] = {}
        for upstream in ranked:
            by_domain.setdefault(upstream.instance.failure_domain, upstream)
        first = list(by_domain.values())
        return first + [u for u in ranked if u not in first]

    def _begin(self) -> None:
        self.is_isolated = True
        self._log.write(
            "isolation.started",
            failed=len(self._failed),
            quiet_s=round(self._clock() - self.last_contact_s, 3),
            open=len(self._open),
        )
        self._notify_peers()
        self._give_up_overdue()

    def _end(self) -> None:
        self.is_isolated = False
        excluded = sum(
            1 for u in self._cluster.registry.all() if u.health.excluded
        )
        self._log.write("isolation.ended", excluded=excluded)
        self._notify_peers()
        if self._recovery is None:
            self._recovery = asyncio.create_task(self._recover())
            self._recovery.add_done_callback(self._forget_recovery)

    def _give_up_overdue(self) -> None:
        """Ends overdue attempts whose requests another VM can send."""
        now_s = self._clock()
        for attempt in list(self._open):
            if attempt.may_repeat and attempt.overdue_s <= now_s:
                attempt.conn.fail(ISOLATED_STEP, "no upstream responds")

    async def _recover(self) -> None:
        """Readmits the upstreams that respond again, a few at a time."""
        for _ in range(RECOVERY_ROUNDS):
            waiting = [
                u
                for u in self._cluster.registry.all()
                if u.health.excluded and u.may_be_probed
            ]
            if not waiting or self.is_isolated:
                return
            queue = iter(waiting)
            async with asyncio.TaskGroup() as group:
                for _ in range(RECOVERY_PROBES):
                    group.create_task(self._readmit_from(queue))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _readmit_from(
        self, queue: Iterator[upstream_module.Upstream]
    ) -> None:
        for upstream in queue:
            if await self._probe(upstream):
                upstream.readmit()

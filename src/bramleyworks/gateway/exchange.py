"""Handles a caller's request: admission, attempts, retries, response."""

import asyncio
import contextlib
import math
import time
from collections.abc import Callable

from bramleyworks.gateway import admission
from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import attempts as attempts_module
from bramleyworks.gateway import cluster_state
from bramleyworks.gateway import crash_detector
from bramleyworks.gateway import event_log
from bramleyworks.gateway import exchange_progress
from bramleyworks.gateway import fingerprint as fingerprint_module
from bramleyworks.gateway import isolation as isolation_module
from bramleyworks.gateway import peer_proxy
from bramleyworks.gateway import proxied_head
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import refused
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import retry_budget
from bramleyworks.gateway import service_pressure
from bramleyworks.gateway import trace as trace_module
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upload_sender
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_selector
from bramleyworks.gateway import usage_meter
from bramleyworks.platform import header_names
from bramleyworks.policy import isolation as isolation_policy
from bramleyworks.policy import placement
from bramleyworks.policy import quarantine
from bramleyworks.policy import return_schedule
from bramleyworks.policy import upload_budget

# Request bodies up to this size are buffered whole before the first attempt, so
# that the request can be retried.
MAX_BUFFERED_REQUEST_BYTES = 64 * 1024
# Bytes of an upload that are received before an upstream is chosen, so that
# callers that send a head alone take no upstream, and that fingerprints differ.
UPLOAD_START_BYTES = 4 * 1024
# Callers honour Retry-After only up to this fraction of their remaining time.
RETRY_AFTER_FRACTION = 0.3
RETRY_AFTER_MIN_S = 0.02
# Multiple of the expected latency that must be left before a planned stop ends;
# a request that is cut off then has no answer, and may have run.
STOP_LATENCY_FACTOR = 2.0
# Other VMs that a request is passed on to, one after the other.
MAX_PROXY_ATTEMPTS = 2
# Statuses that do not tell whether the request has run.
UNKNOWN_STATUSES = (502, 504)


class Exchanges:
    """Runs the request-response exchanges of all callers.

    Attributes:
        is_draining: Whether connections close after their current response.
        ends_s: Monotonic time at which a planned stop ends in seconds.
        running: Exchanges in flight.
    """

    def __init__(
        self,
        region: str,
        cluster: cluster_state.ClusterState,
        traffic: traffic_module.Traffic,
        quotas: quotas_module.Quotas,
        retries: retry_budget.RetryBudget,
        pressure: service_pressure.ServicePressure,
        crashes: crash_detector.CrashDetector,
        isolation: isolation_module.Isolation,
        proxy_peers: Callable[[str], list[isolation_policy.Peer]],
        is_live_peer: Callable[[str], bool],
        own_ip: str,
        vm_count: Callable[[str | None], int],
        record_response: Callable[[str, int, float], None],
        log: event_log.EventLog,
        clock: Callable[[], float] = time.monotonic,
        uploads: upload_budget.UploadBudget | None = None,
        meter: usage_meter.UsageMeter | usage_meter.NoMeter | None = None,
    ):
        """Initializes the request handler.

        Args:
            region: Region of this VM.
            cluster: Configuration and upstreams as known to this VM.
            traffic: Demand and the split of requests between regions.
            quotas: Rate limits of organisations.
            retries: Budget of retries.
            pressure: Pressure on services.
            crashes: Detects requests that end upstreams.
            isolation: Detects that this VM reaches no upstream.
            proxy_peers: Returns the VMs that may send requests to a service
                for this one.
            is_live_peer: Returns whether heartbeats of a VM arrive.
            own_ip: Address of this VM.
            vm_count: Returns the number of live VMs in a region, in all
                regions for None.
            record_response: Records route, status and duration in seconds.
            log: Request and event log.
            clock: Monotonic time in seconds.
            uploads: Bounds the bytes of uploads in flight, None for no bound.
            meter: Counts requests that upstreams begin, None to count none.
        """
        self._uploads = uploads or upload_budget.UploadBudget(0, 0)
        self._admission = admission.Admission(cluster, quotas, clock)
        self._attempts = attempts_module.Attempts(
            cluster, traffic, isolation, self._should_close, clock, meter
        )
        self._proxy = peer_proxy.PeerProxy(
            own_ip,
            region,
            proxy_peers,
            is_live_peer,
            cluster.record_leaving_by_id,
            self._should_close,
            clock,
        )
        self._selector = upstream_selector.UpstreamSelector(
            region, cluster, traffic, pressure, vm_count, clock
        )
        self._returns = return_schedule.ReturnSchedule()
        self._cluster = cluster
        self._traffic = traffic
        self._retry_budget = retries
        self._pressure = pressure
        self._crashes = crashes
        self._isolation = isolation
        self._vm_count = vm_count
        self._record_response = record_response
        self._log = log
        self._clock = clock
        self.is_draining = False
        self.ends_s = math.inf
        self.running = 0

    def start(
        self, req: request_module.Request, res: response_module.Response
    ) -> asyncio.Task:
        """Starts a task that handles a request."""
        return asyncio.get_running_loop().create_task(self._run(req, res))

    def start_proxied(
        self, req: request_module.Request, res: response_module.Response
    ) -> asyncio.Task:
        """Starts a task that handles a request of another VM."""
        return asyncio.get_running_loop().create_task(
            self._run(req, res, is_proxied=True)
        )

    def close(self) -> None:
        """Closes the connections to other VMs."""
        self._proxy.close()

    async def _run(
        self,
        req: request_module.Request,
        res: response_module.Response,
        is_proxied: bool = False,
    ) -> None:
        trace = trace_module.Trace(is_proxied=is_proxied)
        self.running += 1
        try:
            ctx = self._admission.admit(
                req, _take_proxied_fields(req) if is_proxied else None, trace
            )
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + ctx.deadline_s
                - self._clock()
            ):
                await self._serve(req, res, ctx, trace)
        except refused.RefusedError as exc:
            self._refuse(req, res, exc, trace)
        except TimeoutError:
            self._time_out(req, res, trace)
        except asyncio.CancelledError:
            trace.reason = "the caller has left"
            raise
        except Exception as exc:
            self._refuse(
                req, res, refused.RefusedError(502, "internal error"), trace
            )
            trace.reason = f"internal error: {exc!r}"
            raise
        finally:
            self.running -= 1
            self._log_request(req, trace)

    # Attempts.

    async def _serve(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        trace: trace_module.Trace,
    ) -> None:
        self._record_demand(ctx)
        with contextlib.ExitStack() as stack:
            max_buffered = MAX_BUFFERED_REQUEST_BYTES
            if ctx.route.is_upload:
                stack.callback(
                    self._uploads.release, self._take_upload(req, ctx)
                )
                max_buffered = UPLOAD_START_BYTES
            body = await self._read_start(req, ctx, max_buffered)
            await self._exchange(req, res, ctx, body, max_buffered, trace)

    def _take_upload(
        self, req: request_module.Request, ctx: request_context.RequestContext
    ) -> float:
        """Returns the bytes that an upload counts as.

        Raises:
            refused.RefusedError: The VM has enough uploads in flight.
        """
        counted = self._uploads.take(req.length)
        if counted is None:
            self._admission.refund(ctx)
            raise refused.RefusedError(
                503,
                f"{self._uploads.in_flight_bytes:.0f} bytes of uploads are in"
                " flight",
                self._retry_after_s(ctx, self._uploads.wait_s(req.length)),
            )
        return counted

    async def _read_start(
        self,
        req: request_module.Request,
        ctx: request_context.RequestContext,
        max_bytes: int,
    ) -> bytes | None:
        """Reads a body up to a size; see ``Request.read_all``.

        Raises:
            refused.RefusedError: The caller of an upload has stalled.
        """
        stall_s = upload_sender.STALL_TIMEOUT_S if ctx.route.is_upload else None
        try:
            async with asyncio.timeout(stall_s):
                return await req.read_all(max_bytes)
        except TimeoutError:
            self._admission.refund(ctx)
            raise refused.RefusedError(
                408, "the caller sends no more of the body"
            ) from None

    async def _exchange(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        body: bytes | None,
        max_buffered: int,
        trace: trace_module.Trace,
    ) -> None:
        """Sends a request until it is answered or may not be sent again."""
        fingerprint = fingerprint_module.compute(
            req, ctx, req.peek(max_buffered) if body is None else body
        )
        self._check_quarantine(ctx, fingerprint)
        progress = exchange_progress.ExchangeProgress()
        await self._try_upstreams(
            req, res, ctx, body, fingerprint, progress, trace
        )
        if self._may_proxy(res, ctx, body, fingerprint, progress):
            await self._try_peers(req, res, ctx, body, progress, trace)
        if progress.last.result is attempt_outcome.AttemptResult.ANSWERED:
            return
        if progress.refusal is not None:
            self._admission.refund(ctx)
            raise progress.refusal
        self._finish_failed(req, res, ctx, progress, trace)

    def _record_demand(self, ctx: request_context.RequestContext) -> None:
        """Counts a caller's request, at one VM each for demand and retries."""
        if not self._isolation.is_isolated:
            self._traffic.record_request(
                ctx.route.name, ctx.service, ctx.route.objective_s
            )
        if not ctx.is_proxied:
            self._retry_budget.record_request(ctx.service)

    async def _try_upstreams(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        body: bytes | None,
        fingerprint: str,
        progress: exchange_progress.ExchangeProgress,
        trace: trace_module.Trace,
    ) -> None:
        """Makes attempts until one answers or no other may be made."""
        tried: set[str] = set()
        for number in range(ctx.attempts):
            if self._isolation.is_isolated:
                progress.is_unreachable = True
                if number == 0:
                    progress.refusal = self._unreachable(ctx)
                return
            upstream, choice = self._selector.choose(ctx, tried)
            if upstream is None:
                progress.is_unreachable = self._selector.is_unreachable(ctx)
                if number == 0:
                    progress.refusal = self._no_capacity(ctx, choice)
                    if not progress.is_unreachable:
                        self._record_decision(ctx, choice, is_refused=True)
                return
            if not self._may_finish(choice):
                if number == 0:
                    progress.refusal = refused.RefusedError(
                        503, "this VM stops too soon", RETRY_AFTER_MIN_S
                    )
                return
            if number and not self._retry_budget.try_retry(
                ctx.service, self._vm_count(None)
            ):
                return
            if number == 0:
                self._record_decision(ctx, choice, is_refused=False)
            tried.add(upstream.instance.id)
            entry = trace_module.new_attempt_entry(upstream, choice)
            trace.tried.append(entry)
            req.is_passed_on = True
            with trace_module.timed(entry, self._clock):
                last = await self._attempts.run(
                    req, res, ctx, upstream, choice, body, trace
                )
            entry |= {"outcome": last.result.value, "reason": last.reason}
            self._record_crash_evidence(upstream, fingerprint, last)
            progress.record(last)
            _discard_failed(res, last)
            if not self._may_repeat(res, ctx, body, fingerprint, progress):
                return

    def _may_repeat(
        self,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        body: bytes | None,
        fingerprint: str,
        progress: exchange_progress.ExchangeProgress,
    ) -> bool:
        """Returns whether a request may be sent again after an attempt."""
        last = progress.last
        if last.result is attempt_outcome.AttemptResult.ANSWERED:
            return False
        if progress.may_have_run and not ctx.route.idempotent:
            return False
        if res.started:
            return False
        if body is None and (not ctx.route.is_upload or last.is_body_sent):
            return False
        return not self._may_end_upstreams(fingerprint, last)

    def _may_proxy(
        self,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        body: bytes | None,
        fingerprint: str,
        progress: exchange_progress.ExchangeProgress,
    ) -> bool:
        """Returns whether another VM may send a request in place of this one.

        It may if this VM reaches no upstream for it. A request is passed on
        once only, and not if it may run twice.
        """
        if ctx.is_proxied or progress.sent >= ctx.attempts:
            return False
        if progress.attempts == 0:
            return progress.is_unreachable
        if not progress.last.is_link_failure and not progress.is_unreachable:
            return False
        if not self._may_repeat(res, ctx, body, fingerprint, progress):
            return False
        return not progress.sent or self._retry_budget.try_retry(
            ctx.service, self._vm_count(None)
        )

    async def _try_peers(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        body: bytes | None,
        progress: exchange_progress.ExchangeProgress,
        trace: trace_module.Trace,
    ) -> None:
        """Passes a request on to other VMs until one of them sends it."""
        tried: set[str] = set()
        for _ in range(MAX_PROXY_ATTEMPTS):
            peer = self._proxy.choose(
                ctx, tried, needs_contact=not self._isolation.is_isolated
            )
            if peer is None:
                return
            tried.add(peer.id)
            attempts = ctx.attempts - progress.sent
            entry = trace_module.new_proxy_entry(peer)
            trace.tried.append(entry)
            req.is_passed_on = True
            with trace_module.timed(entry, self._clock):
                last = await self._proxy.run(
                    req, res, ctx, peer, attempts, body, trace
                )
            entry |= {"outcome": last.result.value, "reason": last.reason}
            progress.record(last)
            _discard_failed(res, last)
            progress.refusal = None
            if (
                last.result is not attempt_outcome.AttemptResult.NOT_RUN
                or body is None
            ):
                return

    def _may_finish(self, choice: placement.Choice) -> bool:
        """Returns whether an attempt may finish before a stop ends."""
        needed_s = STOP_LATENCY_FACTOR * choice.expected_s
        return self._clock() + needed_s < self.ends_s

    def _check_quarantine(
        self, ctx: request_context.RequestContext, fingerprint: str
    ) -> None:
        """Refuses a request that ends the upstreams that run it.

        Raises:
            refused.RefusedError: It is quarantined and this is no trial.
        """
        entry = self._crashes.quarantine.get(fingerprint)
        if entry is None or not entry.is_quarantined:
            return
        if self._crashes.may_try(fingerprint):
            return
        self._admission.refund(ctx)
        raise refused.RefusedError(
            503,
            f"{entry.blame} upstreams ended while they ran such a request "
            f"(fingerprint {fingerprint})",
            quarantine.QUARANTINE_TTL_S,
        )

    def _record_crash_evidence(
        self,
        upstream: upstream_module.Upstream,
        fingerprint: str,
        outcome: attempt_outcome.Outcome,
    ) -> None:
        """Records what an attempt shows about its request."""
        if outcome.is_connection_lost:
            self._crashes.record_lost_connection(upstream, fingerprint)
        elif outcome.result in (
            attempt_outcome.AttemptResult.ANSWERED,
            attempt_outcome.AttemptResult.UPSTREAM_ERROR,
        ):
            self._crashes.record_response(fingerprint)

    def _may_end_upstreams(
        self, fingerprint: str, last: attempt_outcome.Outcome
    ) -> bool:
        """Returns whether a retry could end one upstream too many."""
        entry = self._crashes.quarantine.get(fingerprint)
        blame = entry.blame if entry else 0
        if last.is_connection_lost:
            # Whether the upstream has ended is not known yet.
            blame += 1
        return blame >= quarantine.MAX_ENDED_UPSTREAMS

    def _finish_failed(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        progress: exchange_progress.ExchangeProgress,
        trace: trace_module.Trace,
    ) -> None:
        """Responds to a request after its last attempt failed."""
        last = progress.last
        if res.started:
            trace.reason = last.reason
            res.abort()
            return
        if progress.error_response is not None:
            status, headers, body = progress.error_response
            trace.status = status
            trace.reason = "the upstream's own error"
            req.discard()
            res.write_complete(status, headers, body, self._should_close(req))
            return
        if progress.may_have_run:
            raise refused.RefusedError(502, last.reason)
        self._admission.refund(ctx)
        wait_s = last.retry_after_s or 0.0
        if (
            last.result is attempt_outcome.AttemptResult.NOT_RUN
            and not last.is_link_failure
        ):
            self._pressure.record_shed(ctx)
            if ctx.service in self._pressure.pressures():
                work_s = self._selector.work_s(ctx, bool(ctx.object_key))
                wait_s = self._return_wait_s(ctx, wait_s, work_s)
        raise refused.RefusedError(
            503, last.reason, self._retry_after_s(ctx, wait_s)
        )

    def _record_decision(
        self,
        ctx: request_context.RequestContext,
        choice: placement.Choice,
        is_refused: bool,
    ) -> None:
        """Records whether a request found room, for the pressure."""
        if math.isfinite(choice.room_per_s) or choice == placement.NO_CHOICE:
            # Rate limits or missing upstreams are in the way, not load.
            return
        self._pressure.record(
            ctx,
            choice.work_s or self._selector.work_s(ctx, bool(ctx.object_key)),
            is_refused,
            choice.rank,
        )

    def _no_capacity(
        self,
        ctx: request_context.RequestContext,
        choice: placement.Choice,
    ) -> refused.RefusedError:
        left_s = ctx.deadline_s - self._clock()
        reason = (
            f"no upstream of {ctx.service} has room: {choice.wait_s:.3f} s "
            f"to wait, {choice.expected_s:.3f} s to answer, {left_s:.3f} s left"
        )
        wait_s = choice.wait_s
        if math.isfinite(choice.room_per_s):
            reason += f"; rate limits leave {choice.room_per_s:.2f} requests/s"
            wait_s = self._returns.next_wait_s(
                ctx.service,
                self._clock(),
                wait_s,
                choice.room_per_s,
                RETRY_AFTER_FRACTION * max(0.0, left_s),
            )
        elif choice.rank is not None:
            pressure = self._pressure.pressures().get(ctx.service, 0.0)
            reason += (
                f"; rank {choice.rank}, pressure {pressure:.2f}, "
                f"{choice.permitted_s:.3f} s permitted to wait"
            )
            wait_s = self._return_wait_s(
                ctx,
                wait_s - max(0.0, choice.permitted_s),
                choice.expected_s - choice.wait_s,
            )
        return refused.RefusedError(
            503, reason, self._retry_after_s(ctx, wait_s)
        )

    def _return_wait_s(
        self,
        ctx: request_context.RequestContext,
        wait_s: float,
        work_s: float,
    ) -> float:
        """Returns when a caller should return to a service under pressure.

        Args:
            ctx: Context of the request.
            wait_s: Seconds until room is expected.
            work_s: Seconds from the return to a response without waiting.
        """
        now_s = self._clock()
        objective_s = ctx.objective_s - self._pressure.retry_age_s(ctx)
        return self._pressure.return_wait_s(
            max(RETRY_AFTER_MIN_S, wait_s),
            objective_s - now_s - work_s,
            RETRY_AFTER_FRACTION * max(0.0, ctx.client_deadline_s - now_s),
        )

    def _unreachable(
        self, ctx: request_context.RequestContext
    ) -> refused.RefusedError:
        return refused.RefusedError(
            503,
            "neither this VM nor another one reaches upstreams",
            self._retry_after_s(ctx, isolation_module.PROBE_INTERVAL_S),
        )

    def _retry_after_s(
        self, ctx: request_context.RequestContext, wait_s: float
    ) -> float:
        remaining_s = max(0.0, ctx.client_deadline_s - self._clock())
        return min(
            max(RETRY_AFTER_MIN_S, wait_s), RETRY_AFTER_FRACTION * remaining_s
        )

    # Responses and logging.

    def _should_close(self, req: request_module.Request) -> bool:
        return self.is_draining or not req.keep_alive

    def _refuse(
        self,
        req: request_module.Request,
        res: response_module.Response,
        refusal: refused.RefusedError,
        trace: trace_module.Trace,
    ) -> None:
        trace.status = refusal.status
        trace.reason = refusal.reason
        res.discard()
        if res.started or res.ended:
            res.abort()
            return
        headers = [(b"content-type", b"text/plain")]
        if refusal.retry_after_s is not None:
            headers.append(
                (b"retry-after", b"%.3f" % max(0.0, refusal.retry_after_s))
            )
        if trace.is_proxied and refusal.status not in UNKNOWN_STATUSES:
            headers.append((header_names.NOT_RUN, b"1"))
        request_id = req.get(header_names.REQUEST_ID)
        if request_id is not None:
            headers.append((header_names.REQUEST_ID, request_id))
        req.discard()
        res.write_complete(
            refusal.status,
            headers,
            refusal.reason.encode(),
            self._should_close(req),
        )

    def _time_out(
        self,
        req: request_module.Request,
        res: response_module.Response,
        trace: trace_module.Trace,
    ) -> None:
        """Responds to a request whose deadline passed during an attempt."""
        self._refuse(
            req, res, refused.RefusedError(504, "the time is over"), trace
        )

    def _log_request(
        self, req: request_module.Request, trace: trace_module.Trace
    ) -> None:
        elapsed_s = self._clock() - req.received_s
        # The VM of the caller counts a proxied request under its own route.
        label = f"proxied {trace.route}" if trace.is_proxied else trace.route
        self._record_response(label, trace.status, elapsed_s)
        config = self._cluster.config
        # Only refusals by a limit have its state; most lines go without.
        limit = {} if trace.limit is None else {"limit": trace.limit}
        self._log.write(
            "request",
            id=(req.get(header_names.REQUEST_ID) or b"-").decode("latin-1"),
            route=trace.route,
            service=trace.service,
            object=trace.object_key,
            organisation=trace.organisation,
            config=config.version if config else 0,
            status=trace.status,
            reason=trace.reason,
            tried=trace.tried,
            ms=round(elapsed_s * 1000, 1),
            proxied=trace.is_proxied,
            **limit,
        )


def _discard_failed(
    res: response_module.Response, outcome: attempt_outcome.Outcome
) -> None:
    """Drops what a failed attempt wrote if the caller received none of it."""
    if outcome.result is not attempt_outcome.AttemptResult.ANSWERED:
        res.discard()


def _take_proxied_fields(
    req: request_module.Request,
) -> proxied_head.ProxiedFields:
    """Takes the fields of another VM from a request and counts its age.

    Raises:
        refused.RefusedError: They are missing or malformed.
    """
    fields = proxied_head.take(req)
    if fields is None:
        raise refused.RefusedError(400, "the fields of the VM are malformed")
    req.received_s -= fields.age_s
    return fields

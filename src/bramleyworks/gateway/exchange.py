"""Handles a caller's request: admission, attempts, retries, response."""

import asyncio
import math
import time
from collections.abc import Callable

from bramleyworks.gateway import admission
from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import attempts as attempts_module
from bramleyworks.gateway import cluster_state
from bramleyworks.gateway import crash_detector
from bramleyworks.gateway import event_log
from bramleyworks.gateway import fingerprint as fingerprint_module
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import refused
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import retry_budget
from bramleyworks.gateway import trace as trace_module
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_selector
from bramleyworks.platform import header_names
from bramleyworks.policy import placement
from bramleyworks.policy import quarantine
from bramleyworks.policy import return_schedule

# Request bodies up to this size are buffered whole before the first attempt, so
# that the request can be retried.
MAX_BUFFERED_REQUEST_BYTES = 64 * 1024
# Callers honour Retry-After only up to this fraction of their remaining time.
RETRY_AFTER_FRACTION = 0.3
RETRY_AFTER_MIN_S = 0.02
# Multiple of the expected latency that must be left before a planned stop ends;
# a request that is cut off then has no answer, and may have run.
STOP_LATENCY_FACTOR = 2.0


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
        crashes: crash_detector.CrashDetector,
        vm_count: Callable[[str | None], int],
        record_response: Callable[[str, int, float], None],
        log: event_log.EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes the request handler.

        Args:
            region: Region of this VM.
            cluster: Configuration and upstreams as known to this VM.
            traffic: Demand and the split of requests between regions.
            quotas: Rate limits of organisations.
            retries: Budget of retries.
            crashes: Detects requests that end upstreams.
            vm_count: Returns the number of live VMs in a region, in all
                regions for None.
            record_response: Records route, status and duration in seconds.
            log: Request and event log.
            clock: Monotonic time in seconds.
        """
        self._admission = admission.Admission(cluster, quotas, clock)
        self._attempts = attempts_module.Attempts(
            cluster, traffic, self._should_close, clock
        )
        self._selector = upstream_selector.UpstreamSelector(
            region, cluster, traffic, vm_count, clock
        )
        self._returns = return_schedule.ReturnSchedule()
        self._cluster = cluster
        self._traffic = traffic
        self._retry_budget = retries
        self._crashes = crashes
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

    async def _run(
        self, req: request_module.Request, res: response_module.Response
    ) -> None:
        trace = trace_module.Trace()
        self.running += 1
        try:
            ctx = self._admission.admit(req, trace)
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
            trace.reason = f"internal error: {exc!r}"
            if res.started or res.ended:
                res.abort()
            else:
                self._refuse(
                    req, res, refused.RefusedError(502, "internal error"), trace
                )
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
        self._traffic.record_request(
            ctx.route.name, ctx.service, ctx.route.objective_s
        )
        self._retry_budget.record_request(ctx.service)
        body = await req.read_all(MAX_BUFFERED_REQUEST_BYTES)
        fingerprint = fingerprint_module.compute(
            req,
            ctx,
            req.peek(MAX_BUFFERED_REQUEST_BYTES) if body is None else body,
        )
        self._check_quarantine(ctx, fingerprint)
        tried: set[str] = set()
        error_response = None
        last = attempt_outcome.Outcome(
            attempt_outcome.AttemptResult.NOT_RUN, "no attempt was made"
        )
        may_have_run = False
        for number in range(ctx.route.attempts):
            upstream, choice = self._selector.choose(ctx, tried)
            if upstream is None:
                if number == 0:
                    raise self._no_capacity(ctx, choice)
                break
            if not self._may_finish(choice):
                if number == 0:
                    self._admission.refund(ctx)
                    raise refused.RefusedError(
                        503, "this VM stops too soon", RETRY_AFTER_MIN_S
                    )
                break
            if number and not self._retry_budget.try_retry(
                ctx.service, self._vm_count(None)
            ):
                break
            tried.add(upstream.instance.id)
            start_s = self._clock()
            # The entry stays pending if the caller disconnects or the deadline
            # passes.
            entry = trace_module.new_attempt_entry(upstream, choice)
            trace.tried.append(entry)
            try:
                last = await self._attempts.run(
                    req, res, ctx, upstream, choice, body, trace
                )
                entry["outcome"] = last.result.value
                entry["reason"] = last.reason
            finally:
                entry["ms"] = round((self._clock() - start_s) * 1000)
            self._record_crash_evidence(upstream, fingerprint, last)
            if last.result is attempt_outcome.AttemptResult.ANSWERED:
                return
            error_response = last.error_response or error_response
            if last.result is not attempt_outcome.AttemptResult.NOT_RUN:
                may_have_run = True
                if not ctx.route.idempotent:
                    break
            if res.started or body is None:
                break
            if self._may_end_upstreams(fingerprint, last):
                break
        self._finish_failed(
            req, res, ctx, trace, last, error_response, may_have_run
        )

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
        trace: trace_module.Trace,
        last: attempt_outcome.Outcome,
        error_response: tuple[int, list[tuple[bytes, bytes]], bytes] | None,
        may_have_run: bool,
    ) -> None:
        """Responds to a request after its last attempt failed."""
        if res.started:
            trace.reason = last.reason
            res.abort()
            return
        if error_response is not None:
            status, headers, body = error_response
            trace.status = status
            trace.reason = "the upstream's own error"
            req.discard()
            res.write_complete(status, headers, body, self._should_close(req))
            return
        if may_have_run:
            raise refused.RefusedError(502, last.reason)
        self._admission.refund(ctx)
        raise refused.RefusedError(
            503, last.reason, self._retry_after_s(ctx, 0.0)
        )

    def _no_capacity(
        self,
        ctx: request_context.RequestContext,
        choice: placement.Choice,
    ) -> refused.RefusedError:
        self._admission.refund(ctx)
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
        return refused.RefusedError(
            503, reason, self._retry_after_s(ctx, wait_s)
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
        if res.started or res.ended:
            res.abort()
            return
        headers = [(b"content-type", b"text/plain")]
        if refusal.retry_after_s is not None:
            headers.append(
                (b"retry-after", b"%.3f" % max(0.0, refusal.retry_after_s))
            )
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
        self._record_response(trace.route, trace.status, elapsed_s)
        config = self._cluster.config
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
        )

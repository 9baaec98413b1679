"""One caller's request from its head to the last byte of its response."""

import asyncio
import time
from collections.abc import Callable

from bramleyworks.gateway import admission
from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import attempts as attempts_module
from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import refused
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context as request_context_module
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import retry_budget
from bramleyworks.gateway import trace as trace_module
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upstream_selector
from bramleyworks.platform import header_names
from bramleyworks.policy import placement

# Bodies up to this size are read before the request is sent, so that it can
# be sent again.
MAX_BUFFERED_REQUEST_BYTES = 64 * 1024
# Callers wait as told only up to this part of the time they have left.
RETRY_AFTER_FRACTION = 0.3
RETRY_AFTER_MIN_S = 0.02


class Exchanges:
    """Runs the exchanges of all callers."""

    def __init__(
        self,
        region: str,
        world: cluster_state_module.ClusterState,
        traffic: traffic_module.Traffic,
        quotas: quotas_module.Quotas,
        retries: retry_budget.RetryBudget,
        vm_count: Callable[[str | None], int],
        record_response: Callable[[str, int, float], None],
        log: event_log.EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Takes the collaborators.

        Args:
            region: Region of this VM.
            world: What the VM believes.
            traffic: Demand and regions.
            quotas: Rates of organisations.
            budget: Budget of repeats.
            vms_in: Returns the live VMs of a region, of all for None.
            observe: Records route, status and seconds of a response.
            log: Log of decisions.
            clock: Monotonic time in seconds.
        """
        self._admission = admission.Admission(world, quotas, clock)
        self._attempts = attempts_module.Attempts(
            world, traffic, self._should_close, clock
        )
        self._selector = upstream_selector.UpstreamSelector(
            region, world, traffic, vm_count, clock
        )
        self._world = world
        self._traffic = traffic
        self._retry_budget = retries
        self._vm_count = vm_count
        self._record_response = record_response
        self._log = log
        self._clock = clock
        self.is_draining = False
        self.running = 0

    def start(
        self, req: request_module.Request, res: response_module.Response
    ) -> asyncio.Task:
        """Starts the exchange of a request."""
        return asyncio.get_running_loop().create_task(self._run(req, res))

    async def _run(
        self, req: request_module.Request, res: response_module.Response
    ) -> None:
        trace = trace_module.Trace()
        self.running += 1
        try:
            plan = self._admission.admit(req, trace)
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + plan.deadline_s
                - self._clock()
            ):
                await self._serve(req, res, plan, trace)
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
        plan: request_context_module.RequestContext,
        trace: trace_module.Trace,
    ) -> None:
        self._traffic.record_request(
            plan.route.name, plan.service, plan.route.objective_s
        )
        self._retry_budget.record_request(plan.service)
        body = await req.read_all(MAX_BUFFERED_REQUEST_BYTES)
        tried: set[str] = set()
        kept = None
        last = attempt_outcome.Outcome(
            attempt_outcome.AttemptResult.NOT_RUN, "no attempt was made"
        )
        ran = False
        for number in range(plan.route.attempts):
            upstream, choice = self._selector.choose(plan, tried)
            if upstream is None:
                if number == 0:
                    raise self._no_capacity(plan, choice)
                break
            if number and not self._retry_budget.try_retry(
                plan.service, self._vm_count(None)
            ):
                break
            tried.add(upstream.instance.id)
            began_s = self._clock()
            # The entry stays open if the caller leaves or the time is over.
            entry = trace_module.new_attempt_entry(upstream, choice)
            trace.tried.append(entry)
            try:
                last = await self._attempts.run(
                    req, res, plan, upstream, choice, body, trace
                )
                entry["outcome"] = last.result.value
                entry["reason"] = last.reason
            finally:
                entry["ms"] = round((self._clock() - began_s) * 1000)
            if last.result is attempt_outcome.AttemptResult.ANSWERED:
                return
            kept = last.error_response or kept
            if last.result is not attempt_outcome.AttemptResult.NOT_RUN:
                ran = True
                if not plan.route.idempotent:
                    break
            if res.started or body is None:
                break
        self._finish_failed(req, res, plan, trace, last, kept, ran)

    def _finish_failed(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: request_context_module.RequestContext,
        trace: trace_module.Trace,
        last: attempt_outcome.Outcome,
        kept: tuple[int, list[tuple[bytes, bytes]], bytes] | None,
        ran: bool,
    ) -> None:
        """Ends a request that no attempt has answered."""
        if res.started:
            trace.reason = last.reason
            res.abort()
            return
        if kept is not None:
            status, headers, body = kept
            trace.status = status
            trace.reason = "the upstream's own error"
            req.discard()
            res.write_complete(status, headers, body, self._should_close(req))
            return
        if ran:
            raise refused.RefusedError(502, last.reason)
        self._admission.refund(plan)
        raise refused.RefusedError(
            503, last.reason, self._retry_after_s(plan, 0.0)
        )

    def _no_capacity(
        self,
        plan: request_context_module.RequestContext,
        choice: placement.Choice,
    ) -> refused.RefusedError:
        self._admission.refund(plan)
        left_s = plan.deadline_s - self._clock()
        reason = (
            f"no upstream of {plan.service} has room: {choice.wait_s:.3f} s "
            f"to wait, {choice.expected_s:.3f} s to answer, {left_s:.3f} s left"
        )
        return refused.RefusedError(
            503, reason, self._retry_after_s(plan, choice.wait_s)
        )

    def _retry_after_s(
        self, plan: request_context_module.RequestContext, wait_s: float
    ) -> float:
        left_s = max(0.0, plan.client_deadline_s - self._clock())
        return min(
            max(RETRY_AFTER_MIN_S, wait_s), RETRY_AFTER_FRACTION * left_s
        )

    # Ends.

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
        """Ends a request whose time is over while an attempt ran."""
        self._refuse(
            req, res, refused.RefusedError(504, "the time is over"), trace
        )

    def _log_request(
        self, req: request_module.Request, trace: trace_module.Trace
    ) -> None:
        took_s = self._clock() - req.received_s
        self._record_response(trace.route, trace.status, took_s)
        intent = self._world.config
        self._log.write(
            "request",
            id=(req.get(header_names.REQUEST_ID) or b"-").decode("latin-1"),
            route=trace.route,
            service=trace.service,
            object=trace.object_key,
            organisation=trace.organisation,
            config=intent.version if intent else 0,
            status=trace.status,
            reason=trace.reason,
            tried=trace.tried,
            ms=round(took_s * 1000, 1),
        )

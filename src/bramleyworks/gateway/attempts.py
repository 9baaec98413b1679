"""Sends a request to one upstream and forwards its response."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Callable

from bramleyworks import errors
from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import cluster_state
from bramleyworks.gateway import forwarding
from bramleyworks.gateway import isolation as isolation_module
from bramleyworks.gateway import proxied_head
from bramleyworks.gateway import reported_state
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import trace as trace_module
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upload_sender
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.gateway import upstream_head
from bramleyworks.gateway import upstream_response
from bramleyworks.gateway import usage_meter
from bramleyworks.gateway import version_evidence
from bramleyworks.platform import header_names
from bramleyworks.policy import canary_verdict
from bramleyworks.policy import placement
from bramleyworks.policy import work_factor

# Multiple of the expected latency after which an upstream that has sent no
# response to any request since is checked by opening another connection.
SILENCE_TIMEOUT_FACTOR = 5.0
MIN_SILENCE_TIMEOUT_S = 0.6
# Time before a request's deadline at which a missing response is judged. It is
# enough for a health check.
JUDGEMENT_MARGIN_S = 0.3
# Steps of errors where nothing came back, and of all errors that may be due to
# the link instead of the upstream.
SILENCE_STEP = "upstream.silence"
SILENT_STEPS = frozenset((upstream_module.CONNECT_STEP, SILENCE_STEP))
LINK_FAILURE_STEPS = SILENT_STEPS | {
    upstream_conn.CONNECTION_LOST_STEP,
    isolation_module.ISOLATED_STEP,
}


class Attempts:
    """Makes attempts and updates upstream state from their outcomes."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        traffic: traffic_module.Traffic,
        isolation: isolation_module.Isolation,
        should_close: Callable[[request_module.Request], bool],
        clock: Callable[[], float] = time.monotonic,
        meter: usage_meter.UsageMeter | usage_meter.NoMeter | None = None,
    ):
        """Initializes the attempt runner.

        Args:
            cluster: Configuration and upstreams as known to this VM.
            traffic: Estimates of work per request and of demand.
            isolation: Detects that this VM reaches no upstream.
            should_close: Returns whether the caller's connection closes after
                the response to a request.
            clock: Monotonic time in seconds.
            meter: Counts requests that upstreams begin, None to count none.
        """
        self._cluster = cluster
        self._traffic = traffic
        self._isolation = isolation
        self._reported_state = reported_state.ReportedState(cluster)
        self._should_close = should_close
        self._clock = clock
        self._meter = meter or usage_meter.NoMeter()

    async def run(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        body: bytes | None,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        """Sends a request to one upstream and forwards its response.

        Args:
            req: The caller's request.
            res: Response to the caller.
            ctx: Context of the request.
            upstream: Upstream to send it to.
            choice: Expectations with which the upstream was chosen.
            body: The whole body, None if it is streamed.
            trace: Log entry of the request.

        Returns:
            How the attempt ended.
        """
        is_half_open = upstream.health.excluded
        if is_half_open:
            upstream.begin_half_open()
        upstream.in_flight += 1
        upstream.record_sent()
        self._cluster.registry.rate_limits.take(upstream.instance)
        conn = None
        start_s = self._clock()
        upload = None
        if body is None and ctx.route.is_upload:
            upload = upload_sender.UploadSender(self._clock)
        try:
            conn = await upstream.connect(not ctx.route.idempotent)
            if conn.exchange_count == 0:
                region = self._cluster.registry.region_of(upstream)
                self._cluster.registry.record_rtt(
                    region, self._clock() - start_s
                )
            outcome = await self._exchange(
                req, res, ctx, upstream, choice, conn, body, upload, trace
            )
        except errors.UpstreamError as exc:
            result = (
                attempt_outcome.AttemptResult.NOT_RUN
                if exc.not_run
                else attempt_outcome.AttemptResult.FAILED
            )
            is_link_failure = exc.step in LINK_FAILURE_STEPS
            outcome = attempt_outcome.Outcome(
                result,
                f"{exc.step}: {exc.reason}",
                is_connection_lost=exc.step
                == upstream_conn.CONNECTION_LOST_STEP,
                is_link_failure=is_link_failure,
            )
            if is_link_failure:
                self._isolation.record_failure(upstream.instance.id, start_s)
            if (
                not self._isolation.is_isolated
                and exc.step != upload_sender.STALLED_STEP
            ):
                upstream.record_outcome(
                    True, is_half_open, exc.step in SILENT_STEPS
                )
        except asyncio.CancelledError:
            # An upstream has nothing to respond to before it has the body.
            waited_since_s = start_s if upload is None else upload.ended_s
            if waited_since_s is not None and not self._isolation.is_isolated:
                self._record_cancelled(
                    ctx, upstream, choice, waited_since_s, is_half_open
                )
            raise
        else:
            if outcome.result is not attempt_outcome.AttemptResult.NOT_RUN:
                failed = outcome.result is attempt_outcome.AttemptResult.FAILED
                upstream.record_outcome(failed, is_half_open)
        finally:
            upstream.in_flight -= 1
            if conn is not None:
                upstream.release(conn)
        if upload is not None:
            outcome = dataclasses.replace(outcome, is_body_sent=upload.has_sent)
        return outcome

    def _record_cancelled(
        self,
        ctx: request_context.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        since_s: float,
        is_half_open: bool,
    ) -> None:
        """Records an attempt whose time was over, or whose caller left.

        Args:
            ctx: Context of the request.
            upstream: Upstream that has not responded.
            choice: Expectations with which it was chosen.
            since_s: Monotonic time in seconds since which it could respond.
            is_half_open: Whether the attempt was a half-open probe.
        """
        now_s = self._clock()
        # A host or a proxy accepts connections for a server that is silent.
        if upstream.last_response_s < since_s < now_s - MIN_SILENCE_TIMEOUT_S:
            upstream.record_outcome(True, is_half_open, is_silent=True)
        if now_s >= ctx.objective_s:
            self._traffic.record_attempt(
                ctx.service,
                self._cluster.registry.region_of(upstream),
                ctx.route.objective_s,
                now_s - since_s,
                choice.work_s,
            )

    async def _exchange(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        conn: upstream_conn.UpstreamConn,
        body: bytes | None,
        upload: upload_sender.UploadSender | None,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        sent_s = self._clock()
        factor_before, factor_age_s = upstream.reported_factor
        upstream_res = conn.start(
            upstream_head.build(
                req,
                ctx,
                upstream.instance.id,
                body,
                ctx.deadline_s - self._clock(),
            ),
            ctx.request_id,
            req.method == b"HEAD",
            body is None,
        )
        with contextlib.ExitStack() as stack:
            stack.callback(forwarding.abort_unless_complete, upstream_res, conn)
            registry = self._cluster.registry
            rtt_s = registry.rtt_s(registry.region_of(upstream))
            usage = stack.enter_context(
                self._meter.start(ctx.organisation, upstream, rtt_s, choice)
            )
            if upload is not None:
                stack.callback(_settle_unsent, usage, upload)
            if body is None:
                sender = asyncio.create_task(
                    upload.run(req, conn, upstream_res, rtt_s)
                    if upload is not None
                    else forwarding.send_body(req, conn)
                )
                stack.callback(sender.cancel)
            observation = self._observe(ctx, upstream, choice)
            if observation is not None:
                stack.callback(observation.close)
                watch = asyncio.create_task(
                    self._watch(observation, upstream, upload)
                )
                stack.callback(watch.cancel)
            if upload is not None:
                # A slow caller is no sign that the upstream does not respond.
                await upload.wait_ended_or_head(upstream_res)
            with self._isolation.observe(
                upstream,
                conn,
                choice.expected_s,
                ctx.route.idempotent and body is not None,
            ):
                await self._wait_head(
                    upstream_res, ctx, upstream, choice, sent_s
                )
            self._isolation.record_contact(upstream.instance.service)
            sending_s = 0.0
            if upload is not None and upload.ended_s is not None:
                # The upstream begins to work when it has the body.
                sending_s = upload.ended_s - sent_s
                sent_s = upload.ended_s
            elapsed_s = self._clock() - sent_s
            self._reported_state.record(upstream_res, upstream)
            outcome = self._check_response(upstream_res, ctx, upstream)
            if outcome is not None:
                if outcome.result is attempt_outcome.AttemptResult.NOT_RUN:
                    usage.record_not_run()
                return outcome
            usage.record_response(elapsed_s, sending_s)
            if observation is not None:
                observation.record_response(upstream_res.status, elapsed_s)
            factor = work_factor.during(
                factor_before, factor_age_s, upstream.reported_factor[0]
            )
            if upload is None or upload.ended_s is not None:
                self._record_latency(
                    ctx,
                    upstream,
                    choice,
                    elapsed_s,
                    upstream_res.status,
                    factor,
                )
            if ctx.is_proxied and upstream.is_leaving:
                upstream_res.headers.append(
                    proxied_head.encode_upstream(upstream.instance)
                )
            return await forwarding.forward_response(
                req, res, ctx, upstream_res, self._should_close, trace
            )

    async def _watch(
        self,
        observation: version_evidence.Observation,
        upstream: upstream_module.Upstream,
        upload: upload_sender.UploadSender | None,
    ) -> None:
        """Judges an attempt when its response is late."""
        if upload is not None:
            await upload.wait_ended()
        await observation.watch(
            upstream,
            lambda: self._reported_state.check_health(upstream),
            lambda: self._isolation.last_contact_s,
            self._clock,
        )

    def _observe(
        self,
        ctx: request_context.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
    ) -> version_evidence.Observation | None:
        """Starts to observe an attempt during a move of its service.

        The wait in the upstream's queue counts as long as it would be with a
        typical upstream, so that the slowness of a version does not excuse it.
        That its machine is busy at the moment does.
        """
        moves = self._cluster.moves
        if not moves.is_moving(ctx.service):
            return None
        registry = self._cluster.registry
        is_warm = not ctx.object_key or upstream.has_cached(ctx.object_key)
        work_s = self._traffic.work_s(
            ctx.route.name, ctx.service, ctx.route.objective_s, is_warm
        )
        expected_s = (
            choice.wait_s / upstream.slowness + choice.work_factor * work_s
        )
        rtt_s = registry.rtt_s(registry.region_of(upstream))
        remaining_s = (
            ctx.deadline_s - self._clock() - rtt_s - JUDGEMENT_MARGIN_S
        )
        return moves.observe(
            ctx.service,
            upstream.instance.version,
            ctx.route.name,
            rtt_s
            + canary_verdict.slow_after_s(
                expected_s, ctx.route.objective_s, remaining_s
            ),
            canary_verdict.is_near_deadline(expected_s, remaining_s),
        )

    async def _wait_head(
        self,
        upstream_res: upstream_response.UpstreamResponse,
        ctx: request_context.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        sent_s: float,
    ) -> None:
        """Waits for the response head, giving up early on a dead upstream.

        Only idempotent requests on routes with several attempts give up early.

        Raises:
            errors.UpstreamError: The exchange failed, or the upstream accepts
                no connections and has sent no response to any request since
                this one was sent.
        """
        timeout_s = max(
            MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * choice.expected_s
        )
        if not ctx.route.idempotent or ctx.attempts < 2:
            await upstream_res.wait_head()
            return
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    await upstream_res.wait_head()
                return
            except TimeoutError:
                if (
                    upstream.last_contact_s > sent_s
                    or await upstream.is_reachable()
                ):
                    continue
                raise errors.UpstreamError(
                    SILENCE_STEP,
                    upstream.instance.id,
                    f"no answer for {self._clock() - sent_s:.3f} s",
                    not_run=False,
                ) from None

    def _check_response(
        self,
        upstream_res: upstream_response.UpstreamResponse,
        ctx: request_context.RequestContext,
        upstream: upstream_module.Upstream,
    ) -> attempt_outcome.Outcome | None:
        """Returns the outcome of an unusable response, None if it is usable."""
        status = upstream_res.status
        if (
            upstream_res.get(header_names.NOT_RUN) is not None
            or status == reported_state.MISDIRECTED_STATUS
        ):
            upstream.record_shed()
            if (
                status != reported_state.MISDIRECTED_STATUS
                and not upstream.is_leaving
            ):
                self._traffic.record_refusal(
                    ctx.service,
                    self._cluster.registry.region_of(upstream),
                    ctx.route.objective_s,
                )
            return attempt_outcome.Outcome(
                attempt_outcome.AttemptResult.NOT_RUN, f"refused with {status}"
            )
        if upstream_res.get(header_names.SIGNATURE) is None:
            return attempt_outcome.Outcome(
                attempt_outcome.AttemptResult.FAILED,
                f"unsigned answer {status}",
            )
        return None

    def _record_latency(
        self,
        ctx: request_context.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        elapsed_s: float,
        status: int,
        factor: float | None,
    ) -> None:
        """Updates latency estimates from a response.

        A response counts only where it is known whether the upstream had the
        object cached: either this VM sent the object there recently, or
        placement expected a cache miss. It does not count if the machine became
        busy or idle meanwhile (``factor`` is None).
        """
        if status >= 500:
            return
        registry = self._cluster.registry
        region = registry.region_of(upstream)
        net_s = max(1e-3, elapsed_s - registry.rtt_s(region))
        elapsed_s = max(1e-3, net_s - choice.wait_s)
        self._traffic.record_attempt(
            ctx.service, region, ctx.route.objective_s, net_s, elapsed_s
        )
        key = ctx.object_key
        is_warm = not key or upstream.has_cached(key)
        typical_s = self._traffic.work_s(
            ctx.route.name, ctx.service, ctx.route.objective_s, is_warm
        )
        if key:
            upstream.record_object(key)
        if factor is None or (not is_warm and choice.is_warm):
            return
        upstream.record_latency(elapsed_s, typical_s, factor)
        # The estimates are those that an undecided version is judged by.
        if (
            choice.wait_s == 0.0
            and not upstream.is_cold
            and not self._cluster.moves.is_undecided(
                ctx.service, upstream.instance.version
            )
        ):
            self._traffic.record_work(
                ctx.route.name,
                ctx.service,
                ctx.route.objective_s,
                is_warm,
                net_s / (upstream.slowness * factor),
            )


def _settle_unsent(
    usage: usage_meter.MeteredAttempt | usage_meter.UnmeteredAttempt,
    upload: upload_sender.UploadSender,
) -> None:
    """Takes back the count of an upload that the upstream got in part."""
    if upload.ended_s is None:
        usage.record_not_run()

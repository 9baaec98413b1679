"""One attempt at one upstream: sends a request and brings its answer back."""

import asyncio
import time
from collections.abc import Callable

from bramleyworks import errors
from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import moves as moves_module
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context as request_context_module
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import trace as trace_module
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.gateway import upstream_head
from bramleyworks.gateway import upstream_response as answer_module
from bramleyworks.platform import header_names
from bramleyworks.policy import placement

# Answers to idempotent requests up to this size are read to their end before
# the caller sees any of it, so that a broken one can be asked for again.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# Multiple of the expected latency after which an upstream that has answered
# nobody meanwhile is asked for another connection.
SILENCE_TIMEOUT_FACTOR = 5.0
MIN_SILENCE_TIMEOUT_S = 0.6


class Attempts:
    """Makes attempts, and learns from what upstreams answer."""

    def __init__(
        self,
        world: cluster_state_module.ClusterState,
        traffic: traffic_module.Traffic,
        should_close: Callable[[request_module.Request], bool],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Takes the collaborators.

        Args:
            world: What the VM believes.
            traffic: Work of requests, and demand.
            closes: Whether a request's connection ends with its response.
            clock: Monotonic time in seconds.
        """
        self._world = world
        self._traffic = traffic
        self._should_close = should_close
        self._clock = clock

    async def run(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: request_context_module.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        body: bytes | None,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        """Sends the request to one upstream and brings its answer back."""
        is_trial = upstream.health.excluded
        if is_trial:
            upstream.begin_half_open()
        upstream.in_flight += 1
        conn = None
        began_s = self._clock()
        try:
            conn = await upstream.connect(not plan.route.idempotent)
            if conn.exchange_count == 0:
                region = self._world.registry.region_of(upstream)
                self._world.registry.record_rtt(region, self._clock() - began_s)
            outcome = await self._exchange(
                req, res, plan, upstream, choice, conn, body, trace
            )
        except errors.UpstreamError as exc:
            verdict = (
                attempt_outcome.AttemptResult.NOT_RUN
                if exc.not_run
                else attempt_outcome.AttemptResult.FAILED
            )
            outcome = attempt_outcome.Outcome(
                verdict, f"{exc.step}: {exc.reason}"
            )
            upstream.record_outcome(True, is_trial)
        except asyncio.CancelledError:
            now_s = self._clock()
            if (
                upstream.last_response_s
                < began_s
                < now_s - MIN_SILENCE_TIMEOUT_S
            ):
                upstream.record_outcome(True, is_trial)
            raise
        else:
            if outcome.result is not attempt_outcome.AttemptResult.NOT_RUN:
                failed = outcome.result is attempt_outcome.AttemptResult.FAILED
                upstream.record_outcome(failed, is_trial)
        finally:
            upstream.in_flight -= 1
            if conn is not None:
                upstream.release(conn)
        return outcome

    async def _exchange(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: request_context_module.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        conn: upstream_conn.UpstreamConn,
        body: bytes | None,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        sent_s = self._clock()
        answer = conn.start(
            upstream_head.build(
                req,
                plan,
                upstream.instance.id,
                body,
                plan.deadline_s - self._clock(),
            ),
            plan.request_id,
            req.method == b"HEAD",
            body is None,
        )
        sender = None
        if body is None:
            sender = asyncio.create_task(_send_body(req, conn))
        try:
            await self._wait_head(answer, plan, upstream, choice, sent_s)
            took_s = self._clock() - sent_s
            self._record_reported_state(answer, upstream)
            outcome = self._check_response(answer, upstream)
            if outcome is not None:
                return outcome
            self._record_latency(plan, upstream, choice, took_s, answer.status)
            return await self._forward_response(req, res, plan, answer, trace)
        finally:
            if sender is not None:
                sender.cancel()
            if not answer.is_complete:
                conn.abort()

    async def _wait_head(
        self,
        answer: answer_module.UpstreamResponse,
        plan: request_context_module.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        sent_s: float,
    ) -> None:
        """Waits for the head, on a silent upstream not to the very end.

        Raises:
            errors.UpstreamError: The exchange failed, or the upstream has
                answered nobody since the request was sent.
        """
        patience_s = max(
            MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * choice.expected_s
        )
        if not plan.route.idempotent or plan.route.attempts < 2:
            await answer.wait_head()
            return
        while True:
            try:
                async with asyncio.timeout(patience_s):
                    await answer.wait_head()
                return
            except TimeoutError:
                if (
                    upstream.last_response_s > sent_s
                    or await upstream.is_reachable()
                ):
                    continue
                raise errors.UpstreamError(
                    "upstream.silence",
                    upstream.instance.id,
                    f"no answer for {self._clock() - sent_s:.3f} s",
                    not_run=False,
                ) from None

    def _check_response(
        self,
        answer: answer_module.UpstreamResponse,
        upstream: upstream_module.Upstream,
    ) -> attempt_outcome.Outcome | None:
        """Returns why an answer is not to be delivered, None if it is."""
        status = answer.status
        if answer.get(header_names.NOT_RUN) is not None or status == 421:
            upstream.record_shed()
            return attempt_outcome.Outcome(
                attempt_outcome.AttemptResult.NOT_RUN, f"refused with {status}"
            )
        if answer.get(header_names.SIGNATURE) is None:
            return attempt_outcome.Outcome(
                attempt_outcome.AttemptResult.FAILED,
                f"unsigned answer {status}",
            )
        return None

    async def _forward_response(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: request_context_module.RequestContext,
        answer: answer_module.UpstreamResponse,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        """Passes an answer on.

        Short answers are read to their end first. A broken one can be asked
        for again then, and an error of the upstream can be tried elsewhere.
        """
        headers = [
            h
            for h in answer.headers
            if h[0] not in upstream_head.HOP_BY_HOP_HEADERS
        ]
        held = b""
        is_short = (
            answer.length is None
            or answer.length <= MAX_BUFFERED_RESPONSE_BYTES
        )
        while is_short and len(held) <= MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await answer.read()
            if chunk:
                held += chunk
                continue
            if answer.status >= 500 and plan.route.idempotent:
                return attempt_outcome.Outcome(
                    attempt_outcome.AttemptResult.UPSTREAM_ERROR,
                    f"status {answer.status}",
                    (answer.status, headers, held),
                )
            trace.status = answer.status
            req.discard()
            res.write_complete(
                answer.status, headers, held, self._should_close(req)
            )
            return attempt_outcome.Outcome(
                attempt_outcome.AttemptResult.ANSWERED, str(answer.status)
            )
        trace.status = answer.status
        res.write_head(
            answer.status, headers, answer.length, self._should_close(req)
        )
        await res.write_body(held)
        while chunk := await answer.read():
            await res.write_body(chunk)
        req.discard()
        res.finish()
        return attempt_outcome.Outcome(
            attempt_outcome.AttemptResult.ANSWERED, str(answer.status)
        )

    def _record_reported_state(
        self,
        answer: answer_module.UpstreamResponse,
        upstream: upstream_module.Upstream,
    ) -> None:
        """Takes the load and the cold time that an answer tells."""
        upstream.last_response_s = self._clock()
        told = answer.get(header_names.UPSTREAM_LOAD)
        if told is not None:
            parts = told.split(b",")
            if len(parts) == 3 and all(p.strip().isdigit() for p in parts):
                upstream.record_load(int(parts[0]), int(parts[1]))
        cold_ms = answer.get(header_names.COLD_LEFT_MS)
        if cold_ms is not None and cold_ms.strip().isdigit():
            upstream.record_cold_time(int(cold_ms) / 1000)

    def _record_latency(
        self,
        plan: request_context_module.RequestContext,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        took_s: float,
        status: int,
    ) -> None:
        """Learns from the latency of an answer.

        Only objects that this VM knows to be held there, and those that
        nobody has sent there, tell how long the work takes.
        """
        registry = self._world.registry
        net_s = max(1e-3, took_s - registry.rtt_s(registry.region_of(upstream)))
        took_s = max(1e-3, net_s - choice.wait_s)
        key = plan.object_key
        is_warm = not key or upstream.has_cached(key)
        usual_s = self._traffic.work_s(
            plan.route.name, plan.service, plan.route.objective_s, is_warm
        )
        # Only answers tell about a version: connections fail when one upstream
        # or its network does.
        is_bad = status >= 500 or moves_module.is_slow(took_s, usual_s)
        self._observe_version(upstream, plan, is_bad)
        if status >= 500:
            return
        if key:
            upstream.record_object(key)
        if not is_warm and choice.is_warm:
            return
        upstream.record_latency(took_s, usual_s)
        if choice.wait_s == 0.0 and not upstream.is_cold:
            self._traffic.record_work(
                plan.route.name,
                plan.service,
                plan.route.objective_s,
                is_warm,
                net_s / upstream.slowness,
            )

    def _observe_version(
        self,
        upstream: upstream_module.Upstream,
        plan: request_context_module.RequestContext,
        is_bad: bool,
    ) -> None:
        self._world.moves.record_response(
            plan.service,
            upstream.instance.version,
            plan.route.name,
            is_bad,
        )


async def _send_body(
    req: request_module.Request, conn: upstream_conn.UpstreamConn
) -> None:
    """Sends a long body as it arrives."""
    while chunk := await req.read():
        if req.length is None:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        await conn.send(chunk)
    if req.length is None:
        await conn.send(b"0\r\n\r\n")
    conn.end_body()

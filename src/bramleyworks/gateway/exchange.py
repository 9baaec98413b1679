"""One caller's request from its head to the last byte of its response."""

import asyncio
import time
from collections.abc import Callable

from bramleyworks import errors
from bramleyworks.gateway import admission
from bramleyworks.gateway import answer as answer_module
from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import event_log
from bramleyworks.gateway import moves as moves_module
from bramleyworks.gateway import plan as plan_module
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import refused
from bramleyworks.gateway import repeat_budget
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import trace as trace_module
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_choice
from bramleyworks.gateway import upstream_conn
from bramleyworks.gateway import upstream_head
from bramleyworks.gateway import world as world_module
from bramleyworks.platform import header_names
from bramleyworks.policy import placement

# Bodies up to this size are read before the request is sent, so that it can
# be sent again.
WHOLE_REQUEST_BYTES = 64 * 1024
# Answers to idempotent requests up to this size are read to their end before
# the caller sees any of it, so that a broken one can be asked for again.
WHOLE_ANSWER_BYTES = 256 * 1024
# Multiple of the expected latency after which an upstream that has answered
# nobody meanwhile is asked for another connection.
SILENCE_FACTOR = 5.0
SILENCE_MIN_S = 0.6
# Callers wait as told only up to this part of the time they have left.
RETRY_AFTER_PART = 0.3
RETRY_AFTER_MIN_S = 0.02


class Exchanges:
    """Runs the exchanges of all callers."""

    def __init__(
        self,
        region: str,
        world: world_module.World,
        traffic: traffic_module.Traffic,
        quotas: quotas_module.Quotas,
        budget: repeat_budget.RepeatBudget,
        vms_in: Callable[[str | None], int],
        observe: Callable[[str, int, float], None],
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
        self._choice = upstream_choice.UpstreamChoice(
            region, world, traffic, vms_in, clock
        )
        self._world = world
        self._traffic = traffic
        self._budget = budget
        self._vms_in = vms_in
        self._observe = observe
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
        except refused.Refused as exc:
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
                    req, res, refused.Refused(502, "internal error"), trace
                )
            raise
        finally:
            self.running -= 1
            self._report(req, trace)

    # Attempts.

    async def _serve(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: plan_module.Plan,
        trace: trace_module.Trace,
    ) -> None:
        self._traffic.note_request(
            plan.route.name, plan.service, plan.route.objective_s
        )
        self._budget.note_request(plan.service)
        body = await req.read_whole(WHOLE_REQUEST_BYTES)
        tried: set[str] = set()
        kept = None
        last = attempt_outcome.Outcome(
            attempt_outcome.Verdict.NOT_RUN, "no attempt was made"
        )
        ran = False
        for number in range(plan.route.attempts):
            upstream, choice = self._choice.choose(plan, tried)
            if upstream is None:
                if number == 0:
                    raise self._no_room(plan, choice)
                break
            if number and not self._budget.take(
                plan.service, self._vms_in(None)
            ):
                break
            tried.add(upstream.instance.id)
            began_s = self._clock()
            # The entry stays open if the caller leaves or the time is over.
            entry = trace_module.attempt(upstream, choice)
            trace.tried.append(entry)
            try:
                last = await self._attempt(
                    req, res, plan, upstream, choice, body, trace
                )
                entry["outcome"] = last.verdict.value
                entry["reason"] = last.reason
            finally:
                entry["ms"] = round((self._clock() - began_s) * 1000)
            if last.verdict is attempt_outcome.Verdict.ANSWERED:
                return
            kept = last.kept or kept
            if last.verdict is not attempt_outcome.Verdict.NOT_RUN:
                ran = True
                if not plan.route.idempotent:
                    break
            if res.started or body is None:
                break
        self._give_up(req, res, plan, trace, last, kept, ran)

    def _give_up(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: plan_module.Plan,
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
            res.whole(status, headers, body, self._closes(req))
            return
        if ran:
            raise refused.Refused(502, last.reason)
        self._admission.give_back(plan)
        raise refused.Refused(503, last.reason, self._retry_after_s(plan, 0.0))

    def _no_room(
        self, plan: plan_module.Plan, choice: placement.Choice
    ) -> refused.Refused:
        self._admission.give_back(plan)
        left_s = plan.deadline_s - self._clock()
        reason = (
            f"no upstream of {plan.service} has room: {choice.wait_s:.3f} s "
            f"to wait, {choice.expected_s:.3f} s to answer, {left_s:.3f} s left"
        )
        return refused.Refused(
            503, reason, self._retry_after_s(plan, choice.wait_s)
        )

    def _retry_after_s(self, plan: plan_module.Plan, wait_s: float) -> float:
        left_s = max(0.0, plan.client_deadline_s - self._clock())
        return min(max(RETRY_AFTER_MIN_S, wait_s), RETRY_AFTER_PART * left_s)

    async def _attempt(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: plan_module.Plan,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        body: bytes | None,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        """Sends the request to one upstream and brings its answer back."""
        is_trial = upstream.health.out
        if is_trial:
            upstream.begin_trial()
        upstream.in_flight += 1
        conn = None
        began_s = self._clock()
        try:
            conn = await upstream.connect(not plan.route.idempotent)
            if conn.uses == 0:
                region = self._world.registry.region_of(upstream)
                self._world.registry.note_rtt(region, self._clock() - began_s)
            outcome = await self._exchange(
                req, res, plan, upstream, choice, conn, body, trace
            )
        except errors.UpstreamError as exc:
            verdict = (
                attempt_outcome.Verdict.NOT_RUN
                if exc.not_run
                else attempt_outcome.Verdict.FAILED
            )
            outcome = attempt_outcome.Outcome(
                verdict, f"{exc.step}: {exc.reason}"
            )
            upstream.note_outcome(True, is_trial)
        except asyncio.CancelledError:
            now_s = self._clock()
            if upstream.heard_s < began_s < now_s - SILENCE_MIN_S:
                upstream.note_outcome(True, is_trial)
            raise
        else:
            if outcome.verdict is not attempt_outcome.Verdict.NOT_RUN:
                failed = outcome.verdict is attempt_outcome.Verdict.FAILED
                upstream.note_outcome(failed, is_trial)
        finally:
            upstream.in_flight -= 1
            if conn is not None:
                upstream.give_back(conn)
        return outcome

    async def _exchange(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: plan_module.Plan,
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
            self._note_told(answer, upstream)
            outcome = self._judge(answer, upstream)
            if outcome is not None:
                return outcome
            self._note_answer(plan, upstream, choice, took_s, answer.status)
            return await self._deliver(req, res, plan, answer, trace)
        finally:
            if sender is not None:
                sender.cancel()
            if not answer.is_complete:
                conn.abort()

    async def _wait_head(
        self,
        answer: answer_module.Answer,
        plan: plan_module.Plan,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        sent_s: float,
    ) -> None:
        """Waits for the head, on a silent upstream not to the very end.

        Raises:
            errors.UpstreamError: The exchange failed, or the upstream has
                answered nobody since the request was sent.
        """
        patience_s = max(SILENCE_MIN_S, SILENCE_FACTOR * choice.expected_s)
        if not plan.route.idempotent or plan.route.attempts < 2:
            await answer.wait_head()
            return
        while True:
            try:
                async with asyncio.timeout(patience_s):
                    await answer.wait_head()
                return
            except TimeoutError:
                if upstream.heard_s > sent_s or await upstream.is_reachable():
                    continue
                raise errors.UpstreamError(
                    "upstream.silence",
                    upstream.instance.id,
                    f"no answer for {self._clock() - sent_s:.3f} s",
                    not_run=False,
                ) from None

    def _judge(
        self, answer: answer_module.Answer, upstream: upstream_module.Upstream
    ) -> attempt_outcome.Outcome | None:
        """Returns why an answer is not to be delivered, None if it is."""
        status = answer.status
        if answer.get(header_names.NOT_RUN) is not None or status == 421:
            upstream.note_shed()
            return attempt_outcome.Outcome(
                attempt_outcome.Verdict.NOT_RUN, f"refused with {status}"
            )
        if answer.get(header_names.SIGNATURE) is None:
            return attempt_outcome.Outcome(
                attempt_outcome.Verdict.FAILED, f"unsigned answer {status}"
            )
        return None

    async def _deliver(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: plan_module.Plan,
        answer: answer_module.Answer,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        """Passes an answer on.

        Short answers are read to their end first. A broken one can be asked
        for again then, and an error of the upstream can be tried elsewhere.
        """
        headers = [
            h for h in answer.headers if h[0] not in upstream_head.HOP_HEADERS
        ]
        held = b""
        is_short = answer.length is None or answer.length <= WHOLE_ANSWER_BYTES
        while is_short and len(held) <= WHOLE_ANSWER_BYTES:
            chunk = await answer.read()
            if chunk:
                held += chunk
                continue
            if answer.status >= 500 and plan.route.idempotent:
                return attempt_outcome.Outcome(
                    attempt_outcome.Verdict.UPSTREAM_ERROR,
                    f"status {answer.status}",
                    (answer.status, headers, held),
                )
            trace.status = answer.status
            req.discard()
            res.whole(answer.status, headers, held, self._closes(req))
            return attempt_outcome.Outcome(
                attempt_outcome.Verdict.ANSWERED, str(answer.status)
            )
        trace.status = answer.status
        res.head(answer.status, headers, answer.length, self._closes(req))
        await res.body(held)
        while chunk := await answer.read():
            await res.body(chunk)
        req.discard()
        res.end()
        return attempt_outcome.Outcome(
            attempt_outcome.Verdict.ANSWERED, str(answer.status)
        )

    def _note_told(
        self, answer: answer_module.Answer, upstream: upstream_module.Upstream
    ) -> None:
        """Takes the load and the cold time that an answer tells."""
        upstream.heard_s = self._clock()
        told = answer.get(header_names.UPSTREAM_LOAD)
        if told is not None:
            parts = told.split(b",")
            if len(parts) == 3 and all(p.strip().isdigit() for p in parts):
                upstream.note_load(int(parts[0]), int(parts[1]))
        cold_ms = answer.get(header_names.COLD_LEFT_MS)
        if cold_ms is not None and cold_ms.strip().isdigit():
            upstream.note_cold(int(cold_ms) / 1000)

    def _note_answer(
        self,
        plan: plan_module.Plan,
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
        is_warm = not key or upstream.holds(key)
        usual_s = self._choice.work_s(plan, is_warm)
        # Only answers tell about a version: connections fail when one upstream
        # or its network does.
        is_bad = status >= 500 or moves_module.is_slow(took_s, usual_s)
        self._observe_version(upstream, plan, is_bad)
        if status >= 500:
            return
        if key:
            upstream.note_object(key)
        if not is_warm and choice.is_warm:
            return
        upstream.note_answer(took_s, usual_s)
        if choice.wait_s == 0.0 and not upstream.is_cold:
            self._traffic.note_work(
                plan.route.name,
                plan.service,
                plan.route.objective_s,
                is_warm,
                net_s / upstream.slowness,
            )

    def _observe_version(
        self,
        upstream: upstream_module.Upstream,
        plan: plan_module.Plan,
        is_bad: bool,
    ) -> None:
        self._world.moves.observe(
            plan.service,
            upstream.instance.version,
            plan.route.name,
            is_bad,
        )

    # Ends.

    def _closes(self, req: request_module.Request) -> bool:
        return self.is_draining or not req.keep_alive

    def _refuse(
        self,
        req: request_module.Request,
        res: response_module.Response,
        refusal: refused.Refused,
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
        res.whole(
            refusal.status,
            headers,
            refusal.reason.encode(),
            self._closes(req),
        )

    def _time_out(
        self,
        req: request_module.Request,
        res: response_module.Response,
        trace: trace_module.Trace,
    ) -> None:
        """Ends a request whose time is over while an attempt ran."""
        self._refuse(req, res, refused.Refused(504, "the time is over"), trace)

    def _report(
        self, req: request_module.Request, trace: trace_module.Trace
    ) -> None:
        took_s = self._clock() - req.received_s
        self._observe(trace.route, trace.status, took_s)
        intent = self._world.intent
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

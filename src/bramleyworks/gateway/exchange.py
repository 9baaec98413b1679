"""One caller's request from its head to the last byte of its response."""

import asyncio
import dataclasses
import enum
import time
from collections.abc import Callable

import httptools

from bramleyworks import errors
from bramleyworks.gateway import answer as answer_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import intent as intent_module
from bramleyworks.gateway import moves as moves_module
from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import repeat_budget
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import route as route_module
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.gateway import world as world_module
from bramleyworks.platform import header_names
from bramleyworks.policy import placement
from bramleyworks.policy import weighted_turn

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
# Time of a request that is kept for sending the response.
MARGIN_S = 0.01
# Callers wait as told only up to this part of the time they have left.
RETRY_AFTER_PART = 0.3
RETRY_AFTER_MIN_S = 0.02
# Parts of the latency objective's slack that requests of each rank may spend
# in a queue. Under load the lower ranks give way first.
PATIENCE = (1.0, 0.8, 0.5)
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that only this system may set.
OWN_HEADERS = frozenset(
    (
        header_names.KEY,
        header_names.ORGANISATION,
        header_names.EXPECTED_UPSTREAM,
        header_names.DEADLINE_MS,
    )
)


class Verdict(enum.Enum):
    """How one attempt at an upstream ended."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    FAILED = "failed"
    UPSTREAM_ERROR = "upstream error"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is known about a request once it is admitted.

    Attributes:
        route: Its route.
        service: Service that it goes to.
        organisation: Its organisation, None on public routes.
        request_id: Id given by the caller.
        object_key: Object that it is about, empty for none.
        deadline_s: Monotonic time at which its answer is useless.
        client_deadline_s: The same by the caller alone.
        objective_s: Monotonic time by which its answer is worth most.
        regions: Regions that may serve it, empty if all may.
        priority: Its rank.
    """

    route: route_module.Route
    service: str
    organisation: organisation_module.Organisation | None
    request_id: bytes
    object_key: str
    deadline_s: float
    client_deadline_s: float
    objective_s: float
    regions: frozenset[str]
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt.

    Attributes:
        verdict: How it ended.
        reason: Why, for logs and responses.
        kept: A complete error response of the upstream, if there is one.
    """

    verdict: Verdict
    reason: str = ""
    kept: tuple[int, list[tuple[bytes, bytes]], bytes] | None = None


class Refused(Exception):
    """A request is answered by this system itself.

    Attributes:
        status: Status code.
        reason: Why, for logs and the response.
        retry_after_s: When to come back, None if that is of no use.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(slots=True)
class Trace:
    """What is logged about a request when it ends.

    Attributes:
        route: Name of its route.
        service: Service that it goes to.
        organisation: Name of its organisation.
        object_key: Object that it is about.
        tried: What was expected of each attempt and how it ended.
        status: Status of the response, 0 if there was none.
        reason: Why the response is not an upstream's success.
    """

    route: str = "-"
    service: str = "-"
    organisation: str = "-"
    object_key: str = ""
    tried: list[dict] = dataclasses.field(default_factory=list)
    status: int = 0
    reason: str = ""


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
        self._region = region
        self._world = world
        self._traffic = traffic
        self._quotas = quotas
        self._budget = budget
        self._vms_in = vms_in
        self._observe = observe
        self._log = log
        self._clock = clock
        self._parts: dict[str, weighted_turn.WeightedTurn] = {}
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
        trace = Trace()
        self.running += 1
        try:
            plan = self._admit(req, trace)
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + plan.deadline_s
                - self._clock()
            ):
                await self._serve(req, res, plan, trace)
        except Refused as refused:
            self._refuse(req, res, refused, trace)
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
                self._refuse(req, res, Refused(502, "internal error"), trace)
            raise
        finally:
            self.running -= 1
            self._report(req, trace)

    # Admission.

    def _admit(self, req: request_module.Request, trace: Trace) -> Plan:
        """Finds what a request is and whether it may run.

        Raises:
            Refused: It may not.
        """
        intent = self._world.intent
        if intent is None:
            raise Refused(503, "no configuration is known yet", 0.5)
        url = httptools.parse_url(req.target)
        path = url.path.decode("latin-1")
        host = req.get(b"host").decode("latin-1").lower()
        route = intent_module.find_route(intent, host, path)
        if route is None:
            raise Refused(404, "no route matches")
        trace.route = route.name
        organisation = self._organisation(req, intent, route)
        now_s = self._clock()
        client_s = self._client_deadline_s(req, route)
        regions = route.regions
        priority = route.priority
        if organisation is not None:
            trace.organisation = organisation.name
            if organisation.regions:
                regions = (
                    regions & organisation.regions
                    if regions
                    else organisation.regions
                )
                if not regions:
                    raise Refused(503, "no region may serve it")
            if organisation.priority is not None:
                priority = organisation.priority
            wait_s = self._quotas.admit(organisation)
            if wait_s > 0:
                raise Refused(429, "the organisation's rate is used up", wait_s)
        key = req.get(header_names.OBJECT_KEY)
        plan = Plan(
            route=route,
            service=self._part(route),
            organisation=organisation,
            request_id=req.get(header_names.REQUEST_ID) or b"",
            object_key=(
                f"{route.name}/{key.decode('latin-1')}"
                if key and route.is_sticky
                else ""
            ),
            deadline_s=min(client_s, req.received_s + route.timeout_s)
            - MARGIN_S,
            client_deadline_s=client_s,
            objective_s=req.received_s + route.objective_s,
            regions=regions,
            priority=priority,
        )
        trace.service = plan.service
        trace.object_key = plan.object_key
        if plan.deadline_s <= now_s:
            raise Refused(503, "no time is left")
        return plan

    def _organisation(
        self,
        req: request_module.Request,
        intent: intent_module.Intent,
        route: route_module.Route,
    ) -> organisation_module.Organisation | None:
        if route.is_public or not intent.organisations:
            return None
        if req.count(header_names.KEY) > 1:
            raise Refused(400, "more than one key")
        key = (req.get(header_names.KEY) or b"").decode("latin-1").strip()
        name = intent.organisation_of_key.get(key)
        if name is None:
            raise Refused(401, "the key is unknown")
        return intent.organisations[name]

    def _client_deadline_s(
        self, req: request_module.Request, route: route_module.Route
    ) -> float:
        text = req.get(header_names.DEADLINE_MS)
        if text is None:
            return req.received_s + route.timeout_s
        try:
            return req.received_s + float(text) / 1000
        except ValueError:
            raise Refused(400, "the deadline is no number") from None

    def _part(self, route: route_module.Route) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        key = f"{route.host}{route.prefix}"
        turn = self._parts.setdefault(key, weighted_turn.WeightedTurn())
        weights = {part.service: part.weight for part in route.parts}
        return turn.next(weights) or route.parts[0].service

    # Attempts.

    async def _serve(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: Plan,
        trace: Trace,
    ) -> None:
        self._traffic.note_request(
            plan.route.name, plan.service, plan.route.objective_s
        )
        self._budget.note_request(plan.service)
        body = await req.read_whole(WHOLE_REQUEST_BYTES)
        tried: set[str] = set()
        kept = None
        last = Outcome(Verdict.NOT_RUN, "no attempt was made")
        ran = False
        for number in range(plan.route.attempts):
            upstream, choice = self._choose(plan, tried)
            if upstream is None:
                if number == 0:
                    raise self._no_room(plan, choice)
                break
            if number and not self._budget.take(
                plan.service, self._vms_in(None)
            ):
                break
            tried.add(upstream.instance.id)
            load = upstream.load()
            began_s = self._clock()
            last = await self._attempt(
                req, res, plan, upstream, choice, body, trace
            )
            trace.tried.append(
                {
                    "upstream": upstream.instance.id,
                    "outcome": last.verdict.value,
                    "reason": last.reason,
                    "load": round(load, 1),
                    "held": choice.is_warm,
                    "expected_ms": round(choice.expected_s * 1000),
                    "wait_ms": round(choice.wait_s * 1000),
                    "ms": round((self._clock() - began_s) * 1000),
                }
            )
            if last.verdict is Verdict.ANSWERED:
                return
            kept = last.kept or kept
            if last.verdict is not Verdict.NOT_RUN:
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
        plan: Plan,
        trace: Trace,
        last: Outcome,
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
            raise Refused(502, last.reason)
        if plan.organisation is not None:
            self._quotas.give_back(plan.organisation.name)
        raise Refused(503, last.reason, self._retry_after_s(plan, 0.0))

    def _work_s(self, plan: Plan, is_warm: bool) -> float:
        route = plan.route
        return self._traffic.work_s(
            route.name, plan.service, route.objective_s, is_warm
        )

    def _choose(
        self, plan: Plan, tried: set[str]
    ) -> tuple[upstream_module.Upstream | None, placement.Choice]:
        """Returns the upstream for the next attempt."""
        registry = self._world.registry
        versions = self._world.versions(plan.service)
        base = registry.base_version(plan.service)
        wanted = self._world.moves.choose(
            plan.service, plan.route.name, plan.object_key, base
        )
        usable = [
            u
            for u in registry.usable(plan.service, versions)
            if u.instance.id not in tried
            and (not plan.regions or registry.region_of(u) in plan.regions)
            and not (u.is_cold and registry.region_of(u) != self._region)
        ]
        if wanted is not None:
            of_version = [u for u in usable if u.instance.version == wanted]
            usable = of_version or [
                u for u in usable if u.instance.version == base
            ]
        now_s = self._clock()
        demand = placement.Demand(
            cold_work_s=self._work_s(plan, False),
            warm_work_s=self._work_s(plan, bool(plan.object_key)),
            objective_s=plan.objective_s - now_s,
            remaining_s=plan.deadline_s - now_s,
            patience=PATIENCE[min(plan.priority, len(PATIENCE) - 1)],
        )
        by_region: dict[str, list[upstream_module.Upstream]] = {}
        for upstream in usable:
            region = registry.region_of(upstream)
            by_region.setdefault(region, []).append(upstream)
        best = placement.NOWHERE
        first = self._traffic.next_region(
            plan.service, plan.object_key, set(by_region)
        )
        order = sorted(
            by_region, key=lambda name: (name != first, registry.rtt_s(name))
        )
        for region in order:
            found, choice = self._choose_in(plan, by_region[region], demand)
            if found is not None and (
                region == first
                or plan.regions
                or self._traffic.may_fall_back(plan.service)
            ):
                return found, choice
            if best.expected_s == 0.0:
                best = choice
        return None, best

    def _choose_in(
        self,
        plan: Plan,
        candidates: list[upstream_module.Upstream],
        demand: placement.Demand,
    ) -> tuple[upstream_module.Upstream | None, placement.Choice]:
        """Chooses in one region; passes over cold upstreams that are full."""
        registry = self._world.registry
        choice = placement.NOWHERE
        left = list(candidates)
        while left:
            choice = registry.choose(left, plan.object_key, demand)
            if choice.id is None:
                return None, choice
            found = registry.get(choice.id)
            if not found.is_cold or found.take_cold_token(
                self._cold_rate(plan.service)
            ):
                return found, choice
            left.remove(found)
        return None, choice

    def _cold_rate(self, service: str) -> float:
        """Returns this VM's part of what a cold upstream tolerates."""
        found = self._world.intent.services.get(service)
        if found is None or found.cold_per_s <= 0:
            return 1e9
        return 0.9 * found.cold_per_s / max(1, self._vms_in(self._region))

    def _no_room(self, plan: Plan, choice: placement.Choice) -> Refused:
        if plan.organisation is not None:
            self._quotas.give_back(plan.organisation.name)
        left_s = plan.deadline_s - self._clock()
        reason = (
            f"no upstream of {plan.service} has room: {choice.wait_s:.3f} s "
            f"to wait, {choice.expected_s:.3f} s to answer, {left_s:.3f} s left"
        )
        return Refused(503, reason, self._retry_after_s(plan, choice.wait_s))

    def _retry_after_s(self, plan: Plan, wait_s: float) -> float:
        left_s = max(0.0, plan.client_deadline_s - self._clock())
        return min(max(RETRY_AFTER_MIN_S, wait_s), RETRY_AFTER_PART * left_s)

    async def _attempt(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: Plan,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        body: bytes | None,
        trace: Trace,
    ) -> Outcome:
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
            verdict = Verdict.NOT_RUN if exc.not_run else Verdict.FAILED
            outcome = Outcome(verdict, f"{exc.step}: {exc.reason}")
            upstream.note_outcome(True, is_trial)
            self._observe_version(upstream, plan, True)
        except asyncio.CancelledError:
            now_s = self._clock()
            if upstream.heard_s < began_s < now_s - SILENCE_MIN_S:
                upstream.note_outcome(True, is_trial)
            raise
        else:
            if outcome.verdict is not Verdict.NOT_RUN:
                failed = outcome.verdict is Verdict.FAILED
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
        plan: Plan,
        upstream: upstream_module.Upstream,
        choice: placement.Choice,
        conn: upstream_conn.UpstreamConn,
        body: bytes | None,
        trace: Trace,
    ) -> Outcome:
        sent_s = self._clock()
        answer = conn.start(
            self._head(req, plan, upstream, body),
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
                if outcome.verdict is not Verdict.NOT_RUN:
                    self._observe_version(upstream, plan, True)
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
        plan: Plan,
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
    ) -> Outcome | None:
        """Returns why an answer is not to be delivered, None if it is."""
        status = answer.status
        if answer.get(header_names.NOT_RUN) is not None or status == 421:
            upstream.note_shed()
            return Outcome(Verdict.NOT_RUN, f"refused with {status}")
        if answer.get(header_names.SIGNATURE) is None:
            return Outcome(Verdict.FAILED, f"unsigned answer {status}")
        return None

    async def _deliver(
        self,
        req: request_module.Request,
        res: response_module.Response,
        plan: Plan,
        answer: answer_module.Answer,
        trace: Trace,
    ) -> Outcome:
        """Passes an answer on.

        Short answers are read to their end first. A broken one can be asked
        for again then, and an error of the upstream can be tried elsewhere.
        """
        headers = [h for h in answer.headers if h[0] not in HOP_HEADERS]
        held = b""
        is_short = answer.length is None or answer.length <= WHOLE_ANSWER_BYTES
        while is_short and len(held) <= WHOLE_ANSWER_BYTES:
            chunk = await answer.read()
            if chunk:
                held += chunk
                continue
            if answer.status >= 500 and plan.route.idempotent:
                return Outcome(
                    Verdict.UPSTREAM_ERROR,
                    f"status {answer.status}",
                    (answer.status, headers, held),
                )
            trace.status = answer.status
            req.discard()
            res.whole(answer.status, headers, held, self._closes(req))
            return Outcome(Verdict.ANSWERED, str(answer.status))
        trace.status = answer.status
        res.head(answer.status, headers, answer.length, self._closes(req))
        await res.body(held)
        while chunk := await answer.read():
            await res.body(chunk)
        req.discard()
        res.end()
        return Outcome(Verdict.ANSWERED, str(answer.status))

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
        plan: Plan,
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
        usual_s = self._work_s(plan, is_warm)
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
        self, upstream: upstream_module.Upstream, plan: Plan, is_bad: bool
    ) -> None:
        self._world.moves.observe(
            plan.service,
            upstream.instance.version,
            plan.route.name,
            is_bad,
        )

    def _head(
        self,
        req: request_module.Request,
        plan: Plan,
        upstream: upstream_module.Upstream,
        body: bytes | None,
    ) -> bytes:
        """Returns the head of the request to an upstream, with a short body."""
        named = set()
        for value in (v for n, v in req.headers if n == b"connection"):
            named.update(part.strip().lower() for part in value.split(b","))
        lines = [b"%b %b HTTP/1.1" % (req.method, req.target)]
        for name, value in req.headers:
            if name in HOP_HEADERS or name in OWN_HEADERS or name in named:
                continue
            lines.append(b"%b: %b" % (name, value))
        left_ms = max(1, int((plan.deadline_s - self._clock()) * 1000))
        own = {
            header_names.DEADLINE_MS: b"%d" % left_ms,
            header_names.EXPECTED_UPSTREAM: upstream.instance.id.encode(),
        }
        if plan.organisation is not None:
            own[header_names.ORGANISATION] = plan.organisation.name.encode()
        lines.extend(b"%b: %b" % item for item in own.items())
        if req.length is None:
            if body is None:
                lines.append(b"transfer-encoding: chunked")
            else:
                lines.append(b"content-length: %d" % len(body))
        elif req.length or req.get(b"content-length") is not None:
            lines.append(b"content-length: %d" % req.length)
        return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")

    # Ends.

    def _closes(self, req: request_module.Request) -> bool:
        return self.is_draining or not req.keep_alive

    def _refuse(
        self,
        req: request_module.Request,
        res: response_module.Response,
        refused: Refused,
        trace: Trace,
    ) -> None:
        trace.status = refused.status
        trace.reason = refused.reason
        if res.started or res.ended:
            res.abort()
            return
        headers = [(b"content-type", b"text/plain")]
        if refused.retry_after_s is not None:
            headers.append(
                (b"retry-after", b"%.3f" % max(0.0, refused.retry_after_s))
            )
        request_id = req.get(header_names.REQUEST_ID)
        if request_id is not None:
            headers.append((header_names.REQUEST_ID, request_id))
        req.discard()
        res.whole(
            refused.status,
            headers,
            refused.reason.encode(),
            self._closes(req),
        )

    def _time_out(
        self,
        req: request_module.Request,
        res: response_module.Response,
        trace: Trace,
    ) -> None:
        """Ends a request whose time is over while an attempt ran."""
        self._refuse(req, res, Refused(504, "the time is over"), trace)

    def _report(self, req: request_module.Request, trace: Trace) -> None:
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

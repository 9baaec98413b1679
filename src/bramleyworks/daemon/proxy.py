"""Brings admitted requests to upstreams."""

import time
from collections.abc import Callable

import aiohttp
from absl import logging

from bramleyworks.daemon import attempt
from bramleyworks.daemon import forward_failure
from bramleyworks.daemon import forwarder
from bramleyworks.daemon import headers
from bramleyworks.daemon import metrics
from bramleyworks.daemon import move_task
from bramleyworks.daemon import refusal
from bramleyworks.daemon import request_context
from bramleyworks.daemon import request_guard
from bramleyworks.daemon import slot
from bramleyworks.daemon import slot_refusal
from bramleyworks.daemon import slot_request
from bramleyworks.daemon import slot_task
from bramleyworks.daemon import upstream_response
from bramleyworks.policy import sample
from bramleyworks.policy import slot_outcome

MAX_ATTEMPTS = 2
MIN_FAILED_STATUS = 500


class Proxy:
    """Runs attempts: a slot, an upstream, the answer, and what it showed."""

    def __init__(
        self,
        upstream_forwarder: forwarder.Forwarder,
        slots: slot_task.SlotTask,
        moves: move_task.MoveTask,
        request_metrics: metrics.Metrics,
        is_key_valid: Callable[[request_context.RequestContext], bool],
        region: str,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Takes the collaborators.

        Args:
            forward: Sends requests to upstreams.
            slots: Owns the slots.
            moves: Chooses versions.
            measured: Counts answers.
            is_valid: Whether the key of a call is still good; asked right
                before the request is sent, because it may have queued.
            region: Region of this VM.
            clock: Monotonic time in seconds.
        """
        self._forwarder = upstream_forwarder
        self._slots = slots
        self._moves = moves
        self._metrics = request_metrics
        self._is_key_valid = is_key_valid
        self._region = region
        self._clock = clock
        self.draining = False

    async def run(
        self,
        item: request_context.RequestContext,
        guard: request_guard.RequestGuard,
    ) -> attempt.Attempt:
        """Runs a request, with a second try where that is safe.

        A second try needs a request that is idempotent or surely not run, a
        body that is still at hand, and room in the retry budget.
        """
        exclude: tuple[str, ...] = ()
        for number in range(1, MAX_ATTEMPTS + 1):
            ended = await self._run_attempt(item, guard, exclude)
            failure = ended.failure
            if (
                failure is None
                or item.progress.response_started
                or number == MAX_ATTEMPTS
                or not (failure.not_run or item.admission.idempotent)
                or not item.body.complete
                or not self._slots.may_retry(item.admission.service.name)
            ):
                return ended
            exclude = (*exclude, failure.upstream)
        return ended

    async def _run_attempt(
        self,
        item: request_context.RequestContext,
        guard: request_guard.RequestGuard,
        exclude: tuple[str, ...],
    ) -> attempt.Attempt:
        admitted = item.admission
        version = self._moves.choose_version(
            admitted.service.name, admitted.route.prefix
        )
        ask = slot_request.SlotRequest(
            service=admitted.service.name,
            version=version,
            organisation=admitted.organisation_name,
            deadline_s=item.deadline_s,
            body_bytes=len(item.body.buffered),
            exclude=exclude,
        )
        taken = self._slots.try_acquire(ask)
        if taken is None:
            acquired = await self._slots.acquire(ask)
            if acquired.is_err():
                return attempt.Attempt(
                    refused=_refusal_for_slot(acquired.unwrap_err())
                )
            taken = acquired.unwrap()
        if self._clock() >= taken.start_by_s:
            self._slots.release(taken, slot_outcome.SlotOutcome.NEUTRAL)
            return attempt.Attempt(
                refused=refusal.Refusal(
                    503,
                    "not_run",
                    "proxy.slot",
                    "the slot came too late",
                    retry_after_s=1,
                )
            )
        if not self._is_key_valid(item):
            self._slots.release(taken, slot_outcome.SlotOutcome.NEUTRAL)
            return attempt.Attempt(
                refused=refusal.Refusal(
                    401,
                    "not_run",
                    "proxy.key",
                    "the key was withdrawn while the request was queued",
                )
            )
        guard.shorten_deadline(taken.expires_s)
        return await self._run_with_slot(item, guard, taken, version)

    async def _run_with_slot(
        self,
        item: request_context.RequestContext,
        guard: request_guard.RequestGuard,
        taken: slot.Slot,
        version: str,
    ) -> attempt.Attempt:
        started_s = self._clock()
        ended = attempt.Attempt(
            failure=forward_failure.ForwardFailure(
                False, taken.upstream, "the request was cancelled"
            )
        )
        try:
            ended = await self._forward_request(item, taken)
        finally:
            self._record_result(item, guard, taken, version, started_s, ended)
        return ended

    async def _forward_request(
        self, item: request_context.RequestContext, taken: slot.Slot
    ) -> attempt.Attempt:
        """Sends the request and streams the answer."""
        outgoing = headers.to_upstream(
            item.scope["headers"], item.admission.key
        )
        outgoing[forwarder.REQUEST_ID_HEADER] = item.request_id
        if item.admission.organisation_name:
            outgoing["X-Organisation"] = item.admission.organisation_name
        remaining_s = min(item.deadline_s, taken.expires_s) - self._clock()
        outgoing["X-Deadline-Ms"] = str(max(0, int(remaining_s * 1000)))
        item.progress.upstream = taken.upstream
        item.progress.head_received_s = None
        response: aiohttp.ClientResponse | None = None
        try:
            got = await self._forwarder.send(
                taken.upstream,
                taken.url,
                item.scope["method"],
                item.target,
                outgoing,
                item.body.content(),
                item.admission.idempotent,
            )
            if got.is_err():
                return attempt.Attempt(failure=got.unwrap_err())
            response = got.unwrap()
            item.progress.head_received_s = self._clock()
            streamed = upstream_response.UpstreamResponse(response)
            await streamed.stream(item, self.draining)
            return attempt.Attempt(response=streamed)
        except (aiohttp.ClientError, OSError) as exc:
            return attempt.Attempt(
                failure=forward_failure.ForwardFailure(
                    False, taken.upstream, str(exc) or type(exc).__name__
                )
            )
        finally:
            # Closes the connection unless the answer was read to its end.
            if response is not None:
                response.close()

    def _record_result(
        self,
        item: request_context.RequestContext,
        guard: request_guard.RequestGuard,
        taken: slot.Slot,
        version: str,
        started_s: float,
        ended: attempt.Attempt,
    ) -> None:
        now_s = self._clock()
        failure = ended.failure
        status = ended.response.status if ended.response else 0
        failed = not guard.caller_disconnected and (
            status >= MIN_FAILED_STATUS
            or (failure is not None and not failure.shed)
        )
        if failed:
            outcome = slot_outcome.SlotOutcome.FAILED
        elif failure is not None:
            outcome = slot_outcome.SlotOutcome.NEUTRAL
        else:
            outcome = slot_outcome.SlotOutcome.OK
        self._slots.release(taken, outcome)
        name = item.admission.service.name
        if failed or taken.region == self._region:
            # The way to another region would make a version look slow.
            self._moves.record_sample(
                sample.Sample(
                    route=item.admission.route.prefix,
                    version=version,
                    failed=failed,
                    latency_s=(item.progress.head_received_s or now_s)
                    - started_s,
                    busy=taken.is_busy,
                )
            )
        if ended.response is not None:
            self._metrics.record_response(name, status, now_s - item.started_s)


def refusal_for_attempt(
    ended: attempt.Attempt, item: request_context.RequestContext
) -> refusal.Refusal | None:
    """Returns what is left to tell the caller, None for nothing.

    After the head of an answer nothing can be said any more; the server
    closes the connection of an answer that was not completed.
    """
    if ended.refused is not None:
        return ended.refused
    if ended.failure is None:
        return None
    if item.progress.response_started:
        logging.warning(
            "answer broken off: %s",
            ended.failure.reason,
            extra={
                "step": "proxy.stream",
                "peer": ended.failure.upstream,
                "request_id": item.request_id,
            },
        )
        return None
    return _refusal_for_failure(ended.failure)


def refusal_for_cancelled(
    guard: request_guard.RequestGuard, item: request_context.RequestContext
) -> refusal.Refusal | None:
    """Returns what is left to tell the caller of a request cut short."""
    if guard.caller_disconnected or item.progress.response_started:
        return None
    if item.progress.upstream == "-":
        return refusal.Refusal(
            503,
            "not_run",
            "proxy.deadline",
            "the deadline of the request passed before it was sent",
            retry_after_s=1,
        )
    return refusal.Refusal(
        504,
        "unknown",
        "proxy.deadline",
        "the deadline of the request has passed",
        peer=item.progress.upstream,
    )


def _refusal_for_failure(
    failure: forward_failure.ForwardFailure,
) -> refusal.Refusal:
    """Returns what a caller is told about a failed attempt."""
    if failure.not_run:
        return refusal.Refusal(
            503,
            "not_run",
            "proxy.send",
            failure.reason,
            peer=failure.upstream,
            retry_after_s=1,
        )
    return refusal.Refusal(
        502,
        "unknown",
        "proxy.send",
        failure.reason,
        peer=failure.upstream,
    )


def _refusal_for_slot(refused: slot_refusal.SlotRefusal) -> refusal.Refusal:
    return refusal.Refusal(
        503, "not_run", "proxy.slot", refused.reason, retry_after_s=1
    )

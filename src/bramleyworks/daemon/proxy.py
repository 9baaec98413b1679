"""Forwards admitted requests to upstreams."""

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
    """Runs the attempts of a request.

    An attempt acquires a slot, forwards the request to the slot's upstream,
    streams the response to the caller and records the result.

    Attributes:
        draining: Whether responses ask callers to close their connections.
    """

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
        """Initializes the proxy.

        Args:
            upstream_forwarder: Sends requests to upstreams.
            slots: Acquires and releases slots.
            moves: Chooses the version of a service for each request.
            request_metrics: Counts responses.
            is_key_valid: Returns whether the key of a request is still valid.
                Called right before the request is sent, because the key may
                have been withdrawn while the request was queued.
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
        req: request_context.RequestContext,
        guard: request_guard.RequestGuard,
    ) -> attempt.Attempt:
        """Runs a request and retries it once where that is safe.

        A retry requires that the request is idempotent or certainly was not
        run, that its body is buffered completely, and that the retry budget of
        the service permits it.
        """
        exclude: tuple[str, ...] = ()
        for number in range(1, MAX_ATTEMPTS + 1):
            result = await self._run_attempt(req, guard, exclude)
            failure = result.failure
            if (
                failure is None
                or req.progress.response_started
                or number == MAX_ATTEMPTS
                or not (failure.not_run or req.admission.idempotent)
                or not req.body.complete
                or not self._slots.may_retry(req.admission.service.name)
            ):
                return result
            exclude = (*exclude, failure.upstream)
        return result

    async def _run_attempt(
        self,
        req: request_context.RequestContext,
        guard: request_guard.RequestGuard,
        exclude: tuple[str, ...],
    ) -> attempt.Attempt:
        admitted = req.admission
        version = self._moves.choose_version(
            admitted.service.name, admitted.route.prefix
        )
        slot_req = slot_request.SlotRequest(
            service=admitted.service.name,
            version=version,
            organisation=admitted.organisation_name,
            deadline_s=req.deadline_s,
            body_bytes=len(req.body.buffered),
            exclude=exclude,
        )
        held_slot = self._slots.try_acquire(slot_req)
        if held_slot is None:
            slot_result = await self._slots.acquire(slot_req)
            if slot_result.is_err():
                return attempt.Attempt(
                    refused=_refusal_for_slot(slot_result.unwrap_err())
                )
            held_slot = slot_result.unwrap()
        if self._clock() >= held_slot.start_by_s:
            self._slots.release(held_slot, slot_outcome.SlotOutcome.NEUTRAL)
            return attempt.Attempt(
                refused=refusal.Refusal(
                    503,
                    "not_run",
                    "proxy.slot",
                    "the slot came too late",
                    retry_after_s=1,
                )
            )
        if not self._is_key_valid(req):
            self._slots.release(held_slot, slot_outcome.SlotOutcome.NEUTRAL)
            return attempt.Attempt(
                refused=refusal.Refusal(
                    401,
                    "not_run",
                    "proxy.key",
                    "the key was withdrawn while the request was queued",
                )
            )
        guard.shorten_deadline(held_slot.expires_s)
        return await self._run_with_slot(req, guard, held_slot, version)

    async def _run_with_slot(
        self,
        req: request_context.RequestContext,
        guard: request_guard.RequestGuard,
        held_slot: slot.Slot,
        version: str,
    ) -> attempt.Attempt:
        started_s = self._clock()
        result = attempt.Attempt(
            failure=forward_failure.ForwardFailure(
                False, held_slot.upstream, "the request was cancelled"
            )
        )
        try:
            result = await self._forward_request(req, held_slot)
        finally:
            self._record_result(
                req, guard, held_slot, version, started_s, result
            )
        return result

    async def _forward_request(
        self, req: request_context.RequestContext, held_slot: slot.Slot
    ) -> attempt.Attempt:
        """Sends the request and streams the response to the caller."""
        outgoing = headers.to_upstream(req.scope["headers"], req.admission.key)
        outgoing[forwarder.REQUEST_ID_HEADER] = req.request_id
        if req.admission.organisation_name:
            outgoing["X-Organisation"] = req.admission.organisation_name
        remaining_s = min(req.deadline_s, held_slot.expires_s) - self._clock()
        outgoing["X-Deadline-Ms"] = str(max(0, int(remaining_s * 1000)))
        req.progress.upstream = held_slot.upstream
        req.progress.head_received_s = None
        response: aiohttp.ClientResponse | None = None
        try:
            sent = await self._forwarder.send(
                held_slot.upstream,
                held_slot.url,
                req.scope["method"],
                req.target,
                outgoing,
                req.body.content(),
                req.admission.idempotent,
            )
            if sent.is_err():
                return attempt.Attempt(failure=sent.unwrap_err())
            response = sent.unwrap()
            req.progress.head_received_s = self._clock()
            caller_response = upstream_response.UpstreamResponse(response)
            await caller_response.stream(req, self.draining)
            return attempt.Attempt(response=caller_response)
        except (aiohttp.ClientError, OSError) as exc:
            return attempt.Attempt(
                failure=forward_failure.ForwardFailure(
                    False, held_slot.upstream, str(exc) or type(exc).__name__
                )
            )
        finally:
            # Closes the connection unless the response was read to its end.
            if response is not None:
                response.close()

    def _record_result(
        self,
        req: request_context.RequestContext,
        guard: request_guard.RequestGuard,
        held_slot: slot.Slot,
        version: str,
        started_s: float,
        result: attempt.Attempt,
    ) -> None:
        now_s = self._clock()
        failure = result.failure
        status = result.response.status if result.response else 0
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
        self._slots.release(held_slot, outcome)
        name = req.admission.service.name
        if failed or held_slot.region == self._region:
            # The latency to another region would make the version look
            # slow.
            self._moves.record_sample(
                sample.Sample(
                    route=req.admission.route.prefix,
                    version=version,
                    failed=failed,
                    latency_s=(req.progress.head_received_s or now_s)
                    - started_s,
                    busy=held_slot.is_busy,
                )
            )
        if result.response is not None:
            self._metrics.record_response(name, status, now_s - req.started_s)


def refusal_for_attempt(
    result: attempt.Attempt, req: request_context.RequestContext
) -> refusal.Refusal | None:
    """Returns the refusal to send after an attempt, None if there is none.

    No refusal can be sent once the head of a response was sent; the server
    closes the connection of an incomplete response instead.
    """
    if result.refused is not None:
        return result.refused
    if result.failure is None:
        return None
    if req.progress.response_started:
        logging.warning(
            "response incomplete: %s",
            result.failure.reason,
            extra={
                "step": "proxy.stream",
                "peer": result.failure.upstream,
                "request_id": req.request_id,
            },
        )
        return None
    return _refusal_for_failure(result.failure)


def refusal_for_cancelled(
    guard: request_guard.RequestGuard, req: request_context.RequestContext
) -> refusal.Refusal | None:
    """Returns the refusal to send for a request that the guard cancelled.

    None if the caller has disconnected or a response has started.
    """
    if guard.caller_disconnected or req.progress.response_started:
        return None
    if req.progress.upstream == "-":
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
        peer=req.progress.upstream,
    )


def _refusal_for_failure(
    failure: forward_failure.ForwardFailure,
) -> refusal.Refusal:
    """Returns the refusal for a failed attempt."""
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

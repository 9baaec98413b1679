"""Runs non-idempotent requests, at most once for each ticket."""

import asyncio
import functools
import hashlib
import time
from collections.abc import Callable

import aiohttp
from absl import logging

from bramleyworks import errors
from bramleyworks.daemon import attempt
from bramleyworks.daemon import headers
from bramleyworks.daemon import identity
from bramleyworks.daemon import peer_forwarder
from bramleyworks.daemon import proxy
from bramleyworks.daemon import refusal
from bramleyworks.daemon import request_context
from bramleyworks.daemon import request_guard
from bramleyworks.daemon import ticket_task
from bramleyworks.policy import ticket_outcome
from bramleyworks.policy import ticket_step

# Bodies up to this size are read before the attempt begins, so that a caller
# that disconnects while it sends its body starts no attempt.
READ_AHEAD_BYTES = 1024 * 1024
TICKET_HEADER = b"idempotency-key"
FORWARDED_HEADER = b"x-forwarded-by"


class TicketHandler:
    """Handles non-idempotent requests.

    A request without a ticket gets a new one.
    """

    def __init__(
        self,
        me: identity.Identity,
        tickets: ticket_task.TicketTask,
        upstream_proxy: proxy.Proxy,
        vm_forwarder: peer_forwarder.PeerForwarder,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._me = me
        self._tickets = tickets
        self._proxy = upstream_proxy
        self._vm_forwarder = vm_forwarder
        self._clock = clock

    async def run(
        self, req: request_context.RequestContext
    ) -> refusal.Refusal | None:
        """Runs a request at most once for its ticket.

        Returns:
            The refusal to send, or None if there is none or a response was
            sent.
        """
        await req.body.read_ahead(READ_AHEAD_BYTES)
        if req.body.caller_disconnected:
            return None
        organisation = req.admission.organisation_name
        sent_ticket = headers.first_value(req.scope["headers"], TICKET_HEADER)
        try:
            ticket = (
                sent_ticket.decode("ascii", "replace")
                if sent_ticket
                else self._tickets.issue(organisation)
            )
        except errors.TicketError as exc:
            return refusal.Refusal(
                503, "not_run", exc.step, exc.reason, retry_after_s=1
            )
        digest = _request_digest(req)
        forwarded = headers.first_value(req.scope["headers"], FORWARDED_HEADER)
        while True:
            step = self._tickets.begin(
                ticket, organisation, digest, forwarded is not None
            )
            if not isinstance(step, ticket_step.Wait):
                return await self._handle_step(step, req, ticket)
            remaining_s = req.deadline_s - self._clock()
            try:
                async with asyncio.timeout(remaining_s):
                    await self._tickets.wait(ticket)
            except TimeoutError:
                return refusal.Refusal(
                    504,
                    "unknown",
                    "ticket.wait",
                    "the first request with this ticket is still running",
                    retry_after_s=1,
                )

    @functools.singledispatchmethod
    async def _handle_step(
        self, step, req: request_context.RequestContext, ticket: str
    ) -> refusal.Refusal | None:
        raise TypeError(f"unexpected ticket step {type(step).__name__}")

    @_handle_step.register
    async def _run(
        self,
        step: ticket_step.Run,
        req: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        req = request_context.with_response_header(
            req, TICKET_HEADER, ticket.encode()
        )
        outcome = ticket_outcome.UNKNOWN
        # The request continues after its caller disconnects; the caller can
        # retry with the ticket to get the outcome.
        guard = request_guard.RequestGuard(req.deadline_s, None)
        try:
            async with guard:
                result = await self._proxy.run(req, guard)
                outcome = _attempt_outcome(result)
                return proxy.refusal_for_attempt(result, req)
        finally:
            if guard.timed_out and req.progress.upstream == "-":
                outcome = ticket_outcome.NOT_RUN
            self._tickets.finish(ticket, outcome, step.attempt)
        return proxy.refusal_for_cancelled(guard, req)

    @_handle_step.register
    async def _replay(
        self,
        step: ticket_step.Replay,
        req: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        stored = step.outcome
        if not stored.whole:
            return refusal.Refusal(
                409,
                "done",
                "ticket.replay",
                f"the request was run with status {stored.status}; its answer"
                " is no longer kept",
            )
        raw = [
            (b"replayed", b"true"),
            (b"x-request-id", req.request_id.encode()),
            (b"content-length", str(len(stored.body)).encode()),
        ]
        if stored.content_type:
            raw.append((b"content-type", stored.content_type.encode()))
        await req.send(
            {
                "type": "http.response.start",
                "status": stored.status,
                "headers": raw,
            }
        )
        await req.send({"type": "http.response.body", "body": stored.body})
        return None

    @_handle_step.register
    async def _forward(
        self,
        step: ticket_step.Forward,
        req: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        if not req.body.complete:
            return refusal.Refusal(
                503,
                "not_run",
                "ticket.forward",
                "a long body must be sent to the VM that issued the ticket",
                peer=step.targets[0].address,
            )
        for target in step.targets:
            try:
                if await self._vm_forwarder.forward(target, req):
                    return None
            except (aiohttp.ClientError, OSError, TimeoutError) as exc:
                logging.warning(
                    "request with a ticket not forwarded: %s",
                    exc,
                    extra={"step": "ticket.forward", "peer": target.vm_id},
                )
        return refusal.Refusal(
            502,
            "unknown",
            "ticket.forward",
            "no reachable VM knows the outcome",
            peer=step.targets[0].vm_id,
        )

    @_handle_step.register
    async def _not_run(
        self,
        step: ticket_step.NotRun,
        req: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        return refusal.Refusal(503, "not_run", "ticket.begin", step.reason)

    @_handle_step.register
    async def _unknown(
        self,
        step: ticket_step.Unknown,
        req: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        return refusal.Refusal(502, "unknown", "ticket.begin", step.reason)

    @_handle_step.register
    async def _mismatch(
        self,
        step: ticket_step.Mismatch,
        req: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        return refusal.Refusal(422, "not_run", "ticket.begin", step.reason)


def _attempt_outcome(result: attempt.Attempt) -> ticket_outcome.TicketOutcome:
    if result.refused is not None:
        return ticket_outcome.NOT_RUN
    if result.failure is not None:
        return (
            ticket_outcome.NOT_RUN
            if result.failure.not_run
            else ticket_outcome.UNKNOWN
        )
    resp = result.response
    content_type = headers.first_value(resp.headers, b"content-type") or b""
    return ticket_outcome.TicketOutcome(
        "done",
        resp.status,
        content_type.decode("latin-1"),
        resp.stored_body or b"",
        resp.stored_body is not None,
    )


def _request_digest(req: request_context.RequestContext) -> str:
    """Returns a digest of method, target and body.

    Of a body over the read-ahead limit, the digest covers the first part and
    the declared length.
    """
    length = headers.first_value(req.scope["headers"], b"content-length") or b""
    sha256 = hashlib.sha256()
    for part in (
        req.scope["method"].encode(),
        req.target.encode(),
        b"" if req.body.complete else length,
        req.body.buffered,
    ):
        sha256.update(len(part).to_bytes(8, "big"))
        sha256.update(part)
    return sha256.hexdigest()

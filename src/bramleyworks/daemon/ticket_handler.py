"""Runs non-idempotent requests, each ticket at most once."""

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

# Bodies up to this size are read before the ticket begins, so that a caller
# that leaves in the middle of its body starts nothing.
READ_AHEAD_BYTES = 1024 * 1024
TICKET_HEADER = b"idempotency-key"
FORWARDED_HEADER = b"x-forwarded-by"


class TicketHandler:
    """Takes non-idempotent requests from the front."""

    def __init__(
        self,
        me: identity.Identity,
        tickets: ticket_task.TicketTask,
        upstream_proxy: proxy.Proxy,
        vm_relay: peer_forwarder.PeerForwarder,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._me = me
        self._tickets = tickets
        self._proxy = upstream_proxy
        self._relay = vm_relay
        self._clock = clock

    async def run(
        self, item: request_context.RequestContext
    ) -> refusal.Refusal | None:
        """Runs a request once; returns a refusal or None if it was answered."""
        await item.body.read_ahead(READ_AHEAD_BYTES)
        if item.body.caller_disconnected:
            return None
        organisation = item.admission.organisation_name
        sent = headers.first_value(item.scope["headers"], TICKET_HEADER)
        try:
            ticket = (
                sent.decode("ascii", "replace")
                if sent
                else self._tickets.issue(organisation)
            )
        except errors.TicketError as exc:
            return refusal.Refusal(
                503, "not_run", exc.step, exc.reason, retry_after_s=1
            )
        digest = _request_digest(item)
        forwarded = headers.first_value(item.scope["headers"], FORWARDED_HEADER)
        while True:
            step = self._tickets.begin(
                ticket, organisation, digest, forwarded is not None
            )
            if not isinstance(step, ticket_step.Wait):
                return await self._handle_step(step, item, ticket)
            remaining_s = item.deadline_s - self._clock()
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
        self, step, item: request_context.RequestContext, ticket: str
    ) -> refusal.Refusal | None:
        raise TypeError(f"unexpected step {type(step).__name__}")

    @_handle_step.register
    async def _run(
        self,
        step: ticket_step.Run,
        item: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        item = request_context.with_response_header(
            item, TICKET_HEADER, ticket.encode()
        )
        outcome = ticket_outcome.UNKNOWN
        # The request goes on without its caller, who can ask for the outcome
        # with the ticket.
        guard = request_guard.RequestGuard(item.deadline_s, None)
        try:
            async with guard:
                ended = await self._proxy.run(item, guard)
                outcome = _attempt_outcome(ended)
                return proxy.refusal_for_attempt(ended, item)
        finally:
            if guard.timed_out and item.progress.upstream == "-":
                outcome = ticket_outcome.NOT_RUN
            self._tickets.finish(ticket, outcome, step.attempt)
        return proxy.refusal_for_cancelled(guard, item)

    @_handle_step.register
    async def _replay(
        self,
        step: ticket_step.Replay,
        item: request_context.RequestContext,
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
            (b"x-request-id", item.request_id.encode()),
            (b"content-length", str(len(stored.body)).encode()),
        ]
        if stored.content_type:
            raw.append((b"content-type", stored.content_type.encode()))
        await item.send(
            {
                "type": "http.response.start",
                "status": stored.status,
                "headers": raw,
            }
        )
        await item.send({"type": "http.response.body", "body": stored.body})
        return None

    @_handle_step.register
    async def _forward(
        self,
        step: ticket_step.Forward,
        item: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        if not item.body.complete:
            return refusal.Refusal(
                503,
                "not_run",
                "ticket.forward",
                "a long body must be sent to the VM that issued the ticket",
                peer=step.targets[0].address,
            )
        for target in step.targets:
            try:
                if await self._relay.forward(target, item):
                    return None
            except (aiohttp.ClientError, OSError, TimeoutError) as exc:
                logging.warning(
                    "ticket not forwarded: %s",
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
        item: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        return refusal.Refusal(503, "not_run", "ticket.begin", step.reason)

    @_handle_step.register
    async def _unknown(
        self,
        step: ticket_step.Unknown,
        item: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        return refusal.Refusal(502, "unknown", "ticket.begin", step.reason)

    @_handle_step.register
    async def _mismatch(
        self,
        step: ticket_step.Mismatch,
        item: request_context.RequestContext,
        ticket: str,
    ) -> refusal.Refusal | None:
        return refusal.Refusal(422, "not_run", "ticket.begin", step.reason)


def _attempt_outcome(ended: attempt.Attempt) -> ticket_outcome.TicketOutcome:
    if ended.refused is not None:
        return ticket_outcome.NOT_RUN
    if ended.failure is not None:
        return (
            ticket_outcome.NOT_RUN
            if ended.failure.not_run
            else ticket_outcome.UNKNOWN
        )
    got = ended.response
    content_type = headers.first_value(got.headers, b"content-type") or b""
    return ticket_outcome.TicketOutcome(
        "done",
        got.status,
        content_type.decode("latin-1"),
        got.stored_body or b"",
        got.stored_body is not None,
    )


def _request_digest(item: request_context.RequestContext) -> str:
    """Returns a digest of method, target and body.

    A body over the read-ahead limit counts with its first part and its
    declared length.
    """
    length = (
        headers.first_value(item.scope["headers"], b"content-length") or b""
    )
    parts = hashlib.sha256()
    for part in (
        item.scope["method"].encode(),
        item.target.encode(),
        b"" if item.body.complete else length,
        item.body.buffered,
    ):
        parts.update(len(part).to_bytes(8, "big"))
        parts.update(part)
    return parts.hexdigest()

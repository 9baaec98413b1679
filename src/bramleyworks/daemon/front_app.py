"""The ASGI application that callers talk to."""

import itertools
import time
from collections.abc import Awaitable
from collections.abc import Callable

from absl import logging

from bramleyworks.daemon import admission
from bramleyworks.daemon import config_task
from bramleyworks.daemon import identity
from bramleyworks.daemon import limit_task
from bramleyworks.daemon import metrics
from bramleyworks.daemon import proxy
from bramleyworks.daemon import refusal
from bramleyworks.daemon import request_body
from bramleyworks.daemon import request_context
from bramleyworks.daemon import request_guard
from bramleyworks.daemon import ticket_handler
from bramleyworks.document import stored_config
from bramleyworks.policy import routing

# Paths that belong to this system; validation keeps routes away from them.
API_PREFIXES = ("/v1/", "/-/")
# Bodies up to this size are kept, so that a request can be tried again.
MAX_RETRY_BODY_BYTES = 64 * 1024

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class FrontApp:
    """Admits requests and hands them to the proxy.

    Attributes:
        running: Number of requests running now.
        draining: Whether callers are asked to close their connections.
        table: Routes and keys in force.
    """

    def __init__(
        self,
        me: identity.Identity,
        config: config_task.ConfigTask,
        limits: limit_task.LimitTask,
        tickets: ticket_handler.TicketHandler,
        upstream_proxy: proxy.Proxy,
        request_metrics: metrics.Metrics,
        api: Callable[[dict, Receive, Send], Awaitable[None]],
        max_header_bytes: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._config = config
        self._limits = limits
        self._tickets = tickets
        self._proxy = upstream_proxy
        self._metrics = request_metrics
        self._api = api
        self._max_header_bytes = max_header_bytes
        self._clock = clock
        self._request_id_prefix = f"{me.vm_id}-{me.incarnation[:8]}-"
        self._request_numbers = itertools.count(1)
        self.running = 0
        self.draining = False
        self.routing_table: routing.RoutingTable | None = None

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Takes the routes and keys of a configuration into force."""
        self.routing_table = routing.RoutingTable(stored.doc)

    def drain(self) -> None:
        """Asks callers to close their connections after each answer."""
        self.draining = True
        self._proxy.draining = True

    def is_key_valid(self, item: request_context.RequestContext) -> bool:
        """Returns whether a call's key is still good."""
        owner = item.admission.organisation
        if owner is None:
            return True
        if not self._config.is_fresh(self._clock()):
            return False
        if item.admission.routing_table is self.routing_table:
            return True
        found = self.routing_table.organisation(item.admission.key)
        return found is not None and found.name == owner.name

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            await self._api(scope, receive, send)
            return
        self.running += 1
        try:
            if scope["path"].startswith(API_PREFIXES):
                await self._api(scope, receive, send)
            else:
                await self._serve(scope, receive, send)
        finally:
            self.running -= 1

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        started_s = self._clock()
        request_id = f"{self._request_id_prefix}{next(self._request_numbers)}"
        admitted = admission.check(
            self.routing_table,
            scope,
            self._config.is_fresh(started_s),
            self._max_header_bytes,
        )
        if isinstance(admitted, refusal.Refusal):
            await self._send_refusal(send, request_id, "", admitted)
            return
        item = request_context.RequestContext(
            scope=scope,
            receive=receive,
            send=send,
            admission=admitted,
            body=request_body.RequestBody(scope, receive),
            request_id=request_id,
            started_s=started_s,
            deadline_s=started_s + admitted.service.max_request_s,
        )
        refused = await self._check_rate(item)
        if refused is None:
            refused = await self._dispatch(item)
        if refused is not None:
            await self._send_refusal(
                send, request_id, admitted.organisation_name, refused
            )

    async def _check_rate(
        self, item: request_context.RequestContext
    ) -> refusal.Refusal | None:
        name = item.admission.organisation_name
        if not name:
            return None
        limit = f"org:{name}"
        if self._limits.try_take(limit, 1.0):
            return None
        if await self._limits.wait(limit, 1.0, item.deadline_s):
            return None
        return refusal.Refusal(
            429,
            "not_run",
            "front.rate",
            "the organisation is over its rate",
            retry_after_s=1,
        )

    async def _dispatch(
        self, item: request_context.RequestContext
    ) -> refusal.Refusal | None:
        if not item.admission.idempotent:
            return await self._tickets.run(item)
        if not item.body.complete:
            await item.body.read_ahead(MAX_RETRY_BODY_BYTES)
            if item.body.caller_disconnected:
                return None
        receive = item.receive if item.body.complete else None
        async with request_guard.RequestGuard(
            item.deadline_s, receive
        ) as guard:
            ended = await self._proxy.run(item, guard)
            return proxy.refusal_for_attempt(ended, item)
        return proxy.refusal_for_cancelled(guard, item)

    async def _send_refusal(
        self,
        send: Send,
        request_id: str,
        organisation: str,
        refused: refusal.Refusal,
    ) -> None:
        self._metrics.record_refusal(refused.step, organisation)
        if refused.status >= 500:
            logging.warning(
                "request refused: %s",
                refused.reason,
                extra={
                    "step": refused.step,
                    "peer": refused.peer,
                    "request_id": request_id,
                    "organisation": organisation,
                },
            )
        head = refused.headers(request_id)
        body = refused.body(request_id)
        head.append((b"content-length", str(len(body)).encode()))
        if self.draining:
            head.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": refused.status,
                "headers": head,
            }
        )
        await send({"type": "http.response.body", "body": body})

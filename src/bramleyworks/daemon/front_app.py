"""The ASGI application that serves callers."""

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

# Paths of the daemon's own API; document validation rejects routes under them.
API_PREFIXES = ("/v1/", "/-/")
# Bodies up to this size are buffered, so that the request can be retried.
MAX_RETRY_BODY_BYTES = 64 * 1024

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class FrontApp:
    """Admits requests and passes them to the proxy.

    Attributes:
        running: Number of requests in flight.
        draining: Whether responses ask callers to close their connections.
        routing_table: Routes and keys in force, None before the first
            configuration.
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
        """Applies the routes and keys of a configuration."""
        self.routing_table = routing.RoutingTable(stored.doc)

    def drain(self) -> None:
        """Makes each response ask its caller to close the connection."""
        self.draining = True
        self._proxy.draining = True

    def is_key_valid(self, req: request_context.RequestContext) -> bool:
        """Returns whether the key of a request is still valid."""
        owner = req.admission.organisation
        if owner is None:
            return True
        if not self._config.is_fresh(self._clock()):
            return False
        if req.admission.routing_table is self.routing_table:
            return True
        current_owner = self.routing_table.organisation(req.admission.key)
        return current_owner is not None and current_owner.name == owner.name

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
        req = request_context.RequestContext(
            scope=scope,
            receive=receive,
            send=send,
            admission=admitted,
            body=request_body.RequestBody(scope, receive),
            request_id=request_id,
            started_s=started_s,
            deadline_s=started_s + admitted.service.max_request_s,
        )
        refused = await self._check_rate(req)
        if refused is None:
            refused = await self._dispatch(req)
        if refused is not None:
            await self._send_refusal(
                send, request_id, admitted.organisation_name, refused
            )

    async def _check_rate(
        self, req: request_context.RequestContext
    ) -> refusal.Refusal | None:
        name = req.admission.organisation_name
        if not name:
            return None
        limit = f"org:{name}"
        if self._limits.try_take(limit, 1.0):
            return None
        if await self._limits.wait(limit, 1.0, req.deadline_s):
            return None
        return refusal.Refusal(
            429,
            "not_run",
            "front.rate",
            "the organisation is over its rate",
            retry_after_s=1,
        )

    async def _dispatch(
        self, req: request_context.RequestContext
    ) -> refusal.Refusal | None:
        if not req.admission.idempotent:
            return await self._tickets.run(req)
        if not req.body.complete:
            await req.body.read_ahead(MAX_RETRY_BODY_BYTES)
            if req.body.caller_disconnected:
                return None
        receive = req.receive if req.body.complete else None
        async with request_guard.RequestGuard(req.deadline_s, receive) as guard:
            result = await self._proxy.run(req, guard)
            return proxy.refusal_for_attempt(result, req)
        return proxy.refusal_for_cancelled(guard, req)

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

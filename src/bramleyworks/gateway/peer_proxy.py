"""Passes requests on to other VMs while this one reaches no upstream."""

import asyncio
import contextlib
import time
from collections.abc import Callable

from bramleyworks import errors
from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import forwarding
from bramleyworks.gateway import proxied_head
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import trace as trace_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.gateway import upstream_response
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import header_names
from bramleyworks.platform import wire_decimal
from bramleyworks.policy import isolation

# Requests in flight from this VM at one other VM.
MAX_IN_FLIGHT_PER_VM = 64
# Enough for two round trips between regions.
CONNECT_TIMEOUT_S = 0.3
# Idle time after which a connection is not used again, well below the time
# after which the other VM closes it.
MAX_IDLE_S = 4.0
# Idle connections kept for each VM.
MAX_IDLE_CONNS = 16
# Interval at which a missing response makes this VM look whether the other one
# still sends heartbeats.
LIVENESS_CHECK_S = 0.5
# Steps of errors of requests to other VMs.
CONNECT_STEP = "proxy.connect"
SILENCE_STEP = "proxy.silence"


class PeerProxy:
    """Owns the connections to other VMs for requests."""

    def __init__(
        self,
        own_ip: str,
        region: str,
        candidates: Callable[[str], list[isolation.Peer]],
        is_live: Callable[[str], bool],
        record_leaving: Callable[[str, int], None],
        should_close: Callable[[request_module.Request], bool],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes without connections.

        Args:
            own_ip: Address of this VM, by which others know it.
            region: Region of this VM.
            candidates: Returns the other VMs that accept callers, with their
                reach for a service.
            is_live: Returns whether heartbeats of a VM arrive.
            record_leaving: Records id and start, in Unix ms, of an upstream
                whose response said that it leaves.
            should_close: Returns whether the caller's connection closes after
                the response to a request.
            clock: Monotonic time in seconds.
        """
        self._own_ip = own_ip
        self._region = region
        self._candidates = candidates
        self._is_live = is_live
        self._record_leaving = record_leaving
        self._should_close = should_close
        self._clock = clock
        self._idle: dict[str, list[upstream_conn.UpstreamConn]] = {}
        self._in_flight: dict[str, int] = {}

    def close(self) -> None:
        """Closes all idle connections."""
        for conns in self._idle.values():
            for conn in conns:
                conn.abort()
        self._idle.clear()

    def choose(
        self,
        ctx: request_context.RequestContext,
        tried: set[str],
        needs_contact: bool,
    ) -> isolation.Peer | None:
        """Returns the VM to pass a request on to, None if there is none.

        Args:
            ctx: Context of the request.
            tried: VMs that had it before.
            needs_contact: Whether the VM must have had a response from the
                service a moment ago.
        """
        ranked = isolation.rank_peers(
            (c for c in self._candidates(ctx.service) if c.id not in tried),
            self._in_flight,
            self._region,
            ctx.regions,
            MAX_IN_FLIGHT_PER_VM,
            needs_contact,
        )
        return ranked[0] if ranked else None

    async def run(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        peer: isolation.Peer,
        attempts: int,
        body: bytes | None,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        """Passes a request on to another VM and forwards its response.

        Args:
            req: The caller's request.
            res: Response to the caller.
            ctx: Context of the request.
            peer: The other VM.
            attempts: Upstreams that the request may still be sent to.
            body: The whole body, None if it is streamed.
            trace: Log entry of the request.

        Returns:
            How the attempt ended.
        """
        conn = None
        self._in_flight[peer.id] = self._in_flight.get(peer.id, 0) + 1
        try:
            conn = await self._connect(peer)
            return await self._exchange(
                req, res, ctx, peer, attempts, conn, body, trace
            )
        except errors.UpstreamError as exc:
            result = (
                attempt_outcome.AttemptResult.NOT_RUN
                if exc.not_run
                else attempt_outcome.AttemptResult.FAILED
            )
            return attempt_outcome.Outcome(
                result, f"{exc.step}: {exc.reason}", is_link_failure=True
            )
        finally:
            self._in_flight[peer.id] -= 1
            if not self._in_flight[peer.id]:
                del self._in_flight[peer.id]
            if conn is not None:
                self._release(peer, conn)

    async def _exchange(
        self,
        req: request_module.Request,
        res: response_module.Response,
        ctx: request_context.RequestContext,
        peer: isolation.Peer,
        attempts: int,
        conn: upstream_conn.UpstreamConn,
        body: bytes | None,
        trace: trace_module.Trace,
    ) -> attempt_outcome.Outcome:
        fields = proxied_head.ProxiedFields(
            self._clock() - req.received_s, attempts
        )
        proxied_res = conn.start(
            proxied_head.build(req, fields, body),
            ctx.request_id,
            req.method == b"HEAD",
            body is None,
        )
        with contextlib.ExitStack() as stack:
            stack.callback(forwarding.abort_unless_complete, proxied_res, conn)
            if body is None:
                sender = asyncio.create_task(forwarding.send_body(req, conn))
                stack.callback(sender.cancel)
            await self._wait_head(proxied_res, peer)
            leaving = proxied_head.take_upstream(proxied_res)
            if leaving is not None:
                self._record_leaving(*leaving)
            outcome = _check_response(proxied_res)
            if outcome is not None:
                while await proxied_res.read():
                    pass
                return outcome
            return await forwarding.forward_response(
                req, res, ctx, proxied_res, self._should_close, trace
            )

    async def _wait_head(
        self,
        proxied_res: upstream_response.UpstreamResponse,
        peer: isolation.Peer,
    ) -> None:
        """Waits for the response head while the other VM lives.

        Raises:
            errors.UpstreamError: The exchange failed, or the VM fell silent.
        """
        while True:
            try:
                async with asyncio.timeout(LIVENESS_CHECK_S):
                    await proxied_res.wait_head()
                return
            except TimeoutError:
                if self._is_live(peer.id):
                    continue
                raise errors.UpstreamError(
                    SILENCE_STEP, peer.id, "no heartbeat", not_run=False
                ) from None

    async def _connect(
        self, peer: isolation.Peer
    ) -> upstream_conn.UpstreamConn:
        """Returns an idle connection or a new one.

        Raises:
            errors.UpstreamError: No connection could be opened; nothing was
                sent.
        """
        conns = self._idle.get(peer.address, [])
        while conns:
            conn = conns.pop()
            if conn.is_usable and self._clock() - conn.idle_since <= MAX_IDLE_S:
                return conn
            conn.abort()
        loop = asyncio.get_running_loop()
        host, port = vm_module.split_address(peer.address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    lambda: upstream_conn.UpstreamConn(peer.id),
                    host,
                    port,
                    local_addr=(self._own_ip, 0),
                )
        except (TimeoutError, OSError) as exc:
            raise errors.UpstreamError(
                CONNECT_STEP,
                peer.id,
                str(exc) or type(exc).__name__,
                not_run=True,
            ) from exc
        return conn

    def _release(
        self, peer: isolation.Peer, conn: upstream_conn.UpstreamConn
    ) -> None:
        conns = self._idle.setdefault(peer.address, [])
        if conn.is_usable and len(conns) < MAX_IDLE_CONNS:
            conn.idle_since = self._clock()
            conns.append(conn)
        else:
            conn.abort()


def _check_response(
    proxied_res: upstream_response.UpstreamResponse,
) -> attempt_outcome.Outcome | None:
    """Returns the outcome of a refusal, None for an upstream's response."""
    status = proxied_res.status
    if proxied_res.get(header_names.NOT_RUN) is not None:
        retry_after_s = None
        raw = proxied_res.get(header_names.RETRY_AFTER)
        if raw is not None:
            decoded = wire_decimal.decode(raw, "proxy.retry_after", "-")
            retry_after_s = decoded.unwrap_or(None)
        return attempt_outcome.Outcome(
            attempt_outcome.AttemptResult.NOT_RUN,
            f"refused with {status}",
            retry_after_s=retry_after_s,
        )
    if proxied_res.get(header_names.SIGNATURE) is None:
        return attempt_outcome.Outcome(
            attempt_outcome.AttemptResult.FAILED, f"unsigned answer {status}"
        )
    return None

"""Forwards bodies to upstreams and other VMs, and their responses back."""

import asyncio
from collections.abc import Callable

from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context
from bramleyworks.gateway import response as response_module
from bramleyworks.gateway import trace as trace_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.gateway import upstream_head
from bramleyworks.gateway import upstream_response

# Responses up to this size are buffered whole before any byte is sent to the
# caller, so that a truncated response to an idempotent request can be retried.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024


async def forward_response(
    req: request_module.Request,
    res: response_module.Response,
    ctx: request_context.RequestContext,
    upstream_res: upstream_response.UpstreamResponse,
    should_close: Callable[[request_module.Request], bool],
    trace: trace_module.Trace,
) -> attempt_outcome.Outcome:
    """Forwards a response to the caller.

    Short responses are buffered whole first, so that a truncated one or an
    upstream error can still be retried at another upstream.

    Args:
        req: The caller's request.
        res: Response to the caller.
        ctx: Context of the request.
        upstream_res: Response whose head was received.
        should_close: Returns whether the caller's connection closes after the
            response.
        trace: Log entry of the request.

    Returns:
        How the attempt ended.

    Raises:
        errors.UpstreamError: The response broke off.
    """
    headers = [
        h
        for h in upstream_res.headers
        if h[0] not in upstream_head.HOP_BY_HOP_HEADERS
    ]
    status = upstream_res.status
    buffered = b""
    is_bufferable = (
        upstream_res.length is None
        or upstream_res.length <= MAX_BUFFERED_RESPONSE_BYTES
    )
    while is_bufferable and len(buffered) <= MAX_BUFFERED_RESPONSE_BYTES:
        chunk = await upstream_res.read()
        if chunk:
            buffered += chunk
            continue
        if status >= 500 and ctx.route.idempotent:
            return attempt_outcome.Outcome(
                attempt_outcome.AttemptResult.UPSTREAM_ERROR,
                f"status {status}",
                (status, headers, buffered),
            )
        trace.status = status
        req.discard()
        res.write_complete(status, headers, buffered, should_close(req))
        return attempt_outcome.Outcome(
            attempt_outcome.AttemptResult.ANSWERED, str(status)
        )
    trace.status = status
    res.write_head(status, headers, upstream_res.length, should_close(req))
    await res.write_body(buffered)
    while chunk := await upstream_res.read():
        await res.write_body(chunk)
    req.discard()
    res.finish()
    return attempt_outcome.Outcome(
        attempt_outcome.AttemptResult.ANSWERED, str(status)
    )


def abort_unless_complete(
    upstream_res: upstream_response.UpstreamResponse,
    conn: upstream_conn.UpstreamConn,
) -> None:
    """Closes a connection whose response was not read to its end."""
    if not upstream_res.is_complete:
        conn.abort()


async def send_body(
    req: request_module.Request,
    conn: upstream_conn.UpstreamConn,
    stall_timeout_s: float | None = None,
) -> None:
    """Streams a request body.

    Args:
        req: The caller's request.
        conn: Connection on which its head was sent.
        stall_timeout_s: Longest time in seconds without a byte of the body,
            None for any.

    Raises:
        TimeoutError: The caller sent no byte for that time.
    """
    while chunk := await _read(req, stall_timeout_s):
        if req.length is None:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        await conn.send(chunk)
    if req.length is None:
        await conn.send(b"0\r\n\r\n")
    conn.end_body()


async def _read(
    req: request_module.Request, stall_timeout_s: float | None
) -> bytes:
    async with asyncio.timeout(stall_timeout_s):
        return await req.read()

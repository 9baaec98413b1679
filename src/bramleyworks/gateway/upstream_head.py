"""Builds the heads of requests to upstreams."""

from collections.abc import Iterator

from bramleyworks import http_fields
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context
from bramleyworks.platform import header_names

HOP_BY_HOP_HEADERS = http_fields.HOP_BY_HOP | {b"content-length", b"expect"}
# Headers set by the gateway; values from callers are dropped.
RESERVED_HEADERS = frozenset(
    (
        header_names.KEY,
        header_names.ORGANISATION,
        header_names.EXPECTED_UPSTREAM,
        header_names.DEADLINE_MS,
    )
)


def build(
    req: request_module.Request,
    ctx: request_context.RequestContext,
    upstream_id: str,
    body: bytes | None,
    remaining_s: float,
) -> bytes:
    """Returns the head of a request to an upstream, with its buffered body.

    Args:
        req: The caller's request.
        ctx: Context of the request.
        upstream_id: Id of the upstream, which refuses requests for another one.
        body: The whole body, None if it is streamed.
        remaining_s: Time left before the deadline.
    """
    lines = [b"%b %b HTTP/1.1" % (req.method, req.target)]
    lines.extend(
        b"%b: %b" % header
        for header in end_to_end_headers(req)
        if header[0] not in RESERVED_HEADERS
    )
    remaining_ms = max(1, int(remaining_s * 1000))
    own_fields = {
        header_names.DEADLINE_MS: b"%d" % remaining_ms,
        header_names.EXPECTED_UPSTREAM: upstream_id.encode(),
    }
    if ctx.organisation is not None:
        own_fields[header_names.ORGANISATION] = ctx.organisation.name.encode()
    lines.extend(b"%b: %b" % item for item in own_fields.items())
    lines.extend(framing(req, body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def end_to_end_headers(
    req: request_module.Request,
) -> Iterator[tuple[bytes, bytes]]:
    """Yields the headers that do not concern the caller's connection only."""
    connection_options = set()
    for value in (v for n, v in req.headers if n == b"connection"):
        connection_options.update(
            part.strip().lower() for part in value.split(b",")
        )
    for header in req.headers:
        if (
            header[0] not in HOP_BY_HOP_HEADERS
            and header[0] not in connection_options
        ):
            yield header


def framing(req: request_module.Request, body: bytes | None) -> Iterator[bytes]:
    """Yields the header line that tells where the request's body ends.

    Args:
        req: The caller's request.
        body: The whole body, None if it is streamed.
    """
    if req.length is None:
        if body is None:
            yield b"transfer-encoding: chunked"
        else:
            yield b"content-length: %d" % len(body)
    elif req.length or req.get(b"content-length") is not None:
        yield b"content-length: %d" % req.length

"""Builds the head of a request to an upstream."""

from bramleyworks import http_fields
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context as request_context_module
from bramleyworks.platform import header_names

HOP_BY_HOP_HEADERS = http_fields.HOP_BY_HOP | {b"content-length", b"expect"}
# Headers that only this system may set.
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
    plan: request_context_module.RequestContext,
    upstream_id: str,
    body: bytes | None,
    remaining_s: float,
) -> bytes:
    """Returns the head of a request to an upstream, with a short body.

    Args:
        req: The caller's request.
        plan: What is known about it.
        upstream_id: Identity that the upstream has to have.
        body: The whole body, None if it follows in pieces.
        left_s: Time left for the answer.
    """
    named = set()
    for value in (v for n, v in req.headers if n == b"connection"):
        named.update(part.strip().lower() for part in value.split(b","))
    lines = [b"%b %b HTTP/1.1" % (req.method, req.target)]
    for name, value in req.headers:
        if (
            name in HOP_BY_HOP_HEADERS
            or name in RESERVED_HEADERS
            or name in named
        ):
            continue
        lines.append(b"%b: %b" % (name, value))
    left_ms = max(1, int(remaining_s * 1000))
    own = {
        header_names.DEADLINE_MS: b"%d" % left_ms,
        header_names.EXPECTED_UPSTREAM: upstream_id.encode(),
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

"""Heads of requests that one VM passes on to another.

Such a request is the caller's, with its key, deadline and id, and two fields of
the VM that received it first.
"""

import dataclasses

from bramleyworks.gateway import instance
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import upstream_head
from bramleyworks.gateway import upstream_response

AGE_MS = b"x-proxied-age-ms"
ATTEMPTS = b"x-proxied-attempts"
# Id and start of the upstream of a response that says that it leaves.
LEAVING_UPSTREAM = b"x-proxied-leaving-upstream"
# A request that is older has no deadline to meet any more.
MAX_AGE_S = 600.0
_MAX_DIGITS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class ProxiedFields:
    """What the VM that received a request first says of it.

    Attributes:
        age_s: Seconds since it received the request's head.
        attempts: Upstreams that the request may still be sent to.
    """

    age_s: float
    attempts: int


def build(
    req: request_module.Request, fields: ProxiedFields, body: bytes | None
) -> bytes:
    """Returns the head of a request to another VM, with its buffered body.

    Args:
        req: The caller's request.
        fields: What to say of it.
        body: The whole body, None if it is streamed.
    """
    lines = [b"%b %b HTTP/1.1" % (req.method, req.target)]
    lines.extend(
        b"%b: %b" % header
        for header in upstream_head.end_to_end_headers(req)
        if header[0] not in (AGE_MS, ATTEMPTS)
    )
    lines.append(b"%b: %d" % (AGE_MS, int(fields.age_s * 1000)))
    lines.append(b"%b: %d" % (ATTEMPTS, fields.attempts))
    lines.extend(upstream_head.framing(req, body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def take(req: request_module.Request) -> ProxiedFields | None:
    """Removes the fields from a request of another VM and returns them.

    Returns:
        None if a field is missing or malformed.
    """
    values = (req.get(AGE_MS), req.get(ATTEMPTS))
    req.headers = [h for h in req.headers if h[0] not in (AGE_MS, ATTEMPTS)]
    if not all(v and v.isdigit() and len(v) <= _MAX_DIGITS for v in values):
        return None
    age_s, attempts = int(values[0]) / 1000, int(values[1])
    if age_s > MAX_AGE_S or attempts < 1:
        return None
    return ProxiedFields(age_s, attempts)


def encode_upstream(upstream: instance.Instance) -> tuple[bytes, bytes]:
    """Returns the header that names an upstream that leaves."""
    return LEAVING_UPSTREAM, b"%b %d" % (
        upstream.id.encode(),
        upstream.started_ms,
    )


def take_upstream(
    res: upstream_response.UpstreamResponse,
) -> tuple[str, int] | None:
    """Removes the upstream that leaves from a response of another VM.

    Returns:
        Its id and the Unix time of its start in milliseconds, None if the
        response names none.
    """
    raw = res.get(LEAVING_UPSTREAM)
    if raw is None:
        return None
    res.headers = [h for h in res.headers if h[0] != LEAVING_UPSTREAM]
    name, _, started = raw.decode("latin-1").rpartition(" ")
    return (
        (name, int(started))
        if started.isascii() and started.isdigit()
        else None
    )

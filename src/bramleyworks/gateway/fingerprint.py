"""Fingerprints of requests, equal if callers send the same request again."""

import hashlib

from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context


def compute(
    req: request_module.Request,
    ctx: request_context.RequestContext,
    body_start: bytes,
) -> str:
    """Returns the fingerprint of a request.

    The organisation is part of it, so that no other one can get its requests
    into quarantine; callers of public routes can not be told apart. Of a long
    body only the start is known before it is sent.

    Args:
        req: The request.
        ctx: Its context.
        body_start: The whole body, or its start if it is streamed.
    """
    caller = ctx.organisation.name if ctx.organisation else ""
    digest = hashlib.blake2b(digest_size=8)
    for part in (
        req.method,
        req.get(b"host") or b"",
        req.target,
        caller.encode(),
        body_start,
    ):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()

"""Decodes decimal numbers that upstreams state in headers."""

import re

import result

from bramleyworks import errors

_DECIMAL = re.compile(rb"\d{1,9}(\.\d{0,9})?")


def decode(
    raw: bytes, step: str, peer: str
) -> result.Result[float, errors.DocumentError]:
    """Decodes a rate limit in requests per second, or a pause in seconds.

    Args:
        raw: Value of the header.
        step: What is decoded, for errors.
        peer: Id of the upstream, for errors.
    """
    text = raw.strip()
    if _DECIMAL.fullmatch(text) is None:
        return result.Err(
            errors.DocumentError(step, peer, f"{text!r} is no decimal number")
        )
    return result.Ok(float(text))

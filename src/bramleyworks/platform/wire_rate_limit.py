"""Decodes the rate limit that an upstream names in its responses."""

import re

import result

from bramleyworks import errors

_DECIMAL = re.compile(rb"\d{1,9}(\.\d{0,9})?")


def decode(raw: bytes, peer: str) -> result.Result[float, errors.DocumentError]:
    """Decodes a limit in requests per second over all VMs.

    Args:
        raw: Value of the header.
        peer: Id of the upstream, for errors.
    """
    text = raw.strip()
    if _DECIMAL.fullmatch(text) is None:
        return result.Err(
            errors.DocumentError(
                "rate_limit.decode", peer, f"{text!r} is no decimal number"
            )
        )
    return result.Ok(float(text))

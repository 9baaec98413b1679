"""Configured limits on callers' requests and connections."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on callers' requests and connections.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Maximum time between the first and the last byte of
            a request head.
        idle_timeout_s: Maximum time a connection stays open without a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

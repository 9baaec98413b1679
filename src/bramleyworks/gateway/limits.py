"""What callers may send, as operators configured it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on callers' requests and connections.

    Attributes:
        header_bytes: Longest request head.
        body_bytes: Longest request body.
        header_timeout_s: Longest time between the first and the last byte of
            a request head.
        idle_timeout_s: Longest time a connection stays open without a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

"""Fault switches of the stand-in store."""

import msgspec


class StoreFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault switches of the store.

    Attributes:
        down: Each call, including a waiting watch, has no effect and its
            connection is reset.
        slow_ms: Delay of each call before it takes effect, in milliseconds.
        lose_replies: The next writes, up to this number, take effect, but their
            connection is reset without a response.
        writes_per_s: Rate limit for writes and lease calls, 0 for none; calls
            above it get status 429 and have no effect.
        reads_per_s: Rate limit for reads and watches, 0 for none.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_replies: int = 0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0

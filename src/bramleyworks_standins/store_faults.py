"""The fault switches of the stand-in store."""

import msgspec


class StoreFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switches of the store.

    Attributes:
        down: Each call, also a waiting watch, ends with a closed connection
            and has no effect.
        slow_ms: Delay of each call before it takes effect.
        lose_replies: This many coming writes take effect, then the connection
            is closed without an answer.
        writes_per_s: Limit on writes and lease calls, 0 for none; calls above
            it get 429 and have no effect.
        reads_per_s: Limit on reads and watches, 0 for none.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_replies: int = 0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0

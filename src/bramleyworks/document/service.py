"""A service offered by a set of upstreams."""

import msgspec


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service; its upstreams are interchangeable within a version.

    Attributes:
        name: Unique name.
        version: Version that gets all traffic not assigned by a move.
        max_request_s: Longest time one request may take, in seconds.
        shift_after_ms: Expected wait in milliseconds above which a request
            may go to another region.
        warmup_s: Seconds over which the usable slots of a cold upstream rise
            from 1 to all.
        queue_limit: Longest queue of one organisation on one VM.
        reserve_slots: Slots of a region kept free for its own requests when
            another region requests slots.
    """

    name: str
    version: str
    max_request_s: float = 30.0
    shift_after_ms: float = 100.0
    warmup_s: float = 10.0
    queue_limit: int = 200
    reserve_slots: int = 1

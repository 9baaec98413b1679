"""How far the answer to a request has come."""


class ResponseProgress:
    """Set by the parts that answer; read when a request is cut short.

    Attributes:
        started: Whether the head of an answer went to the caller.
        peer: Upstream that the request was sent to last, ``"-"`` for none.
        head_s: Monotonic time at which the head of that upstream's answer
            arrived, None before.
    """

    __slots__ = ("head_s", "upstream", "response_started")

    def __init__(self):
        self.response_started = False
        self.upstream = "-"
        self.head_received_s: float | None = None

"""Progress of the response to a request."""


class ResponseProgress:
    """Progress of the response, read when a request is cancelled.

    Attributes:
        response_started: Whether the head of a response was sent to the caller.
        upstream: Name of the upstream that the request was last sent to,
            ``"-"`` for none.
        head_received_s: Monotonic time at which the head of that upstream's
            response was received, None before.
    """

    __slots__ = ("head_received_s", "upstream", "response_started")

    def __init__(self):
        self.response_started = False
        self.upstream = "-"
        self.head_received_s: float | None = None

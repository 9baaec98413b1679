"""How far the answer to a request has come."""


class CallProgress:
    """Set by the parts that answer; read when a request is cut short.

    Attributes:
        started: Whether the head of an answer went to the caller.
        peer: Upstream that the request was sent to last, ``"-"`` for none.
    """

    __slots__ = ("peer", "started")

    def __init__(self):
        self.started = False
        self.peer = "-"

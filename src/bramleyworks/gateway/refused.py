"""The end of a request that this system answers itself."""


class RefusedError(Exception):
    """A request is answered by this system itself.

    Attributes:
        status: Status code.
        reason: Why, for logs and the response.
        retry_after_s: When to come back, None if that is of no use.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

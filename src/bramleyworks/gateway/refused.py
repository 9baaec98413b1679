"""Error for requests that the gateway refuses."""


class RefusedError(Exception):
    """The gateway responds to a request itself, without an upstream.

    Attributes:
        status: Status code.
        reason: Explanation for logs and the response body.
        retry_after_s: Value of Retry-After in seconds, None if a retry is
            pointless.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

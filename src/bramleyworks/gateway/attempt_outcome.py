"""The outcome of one attempt at an upstream."""

import dataclasses
import enum


class AttemptResult(enum.Enum):
    """Result of an attempt; decides whether a retry is allowed."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    FAILED = "failed"
    UPSTREAM_ERROR = "upstream error"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of an attempt.

    Attributes:
        result: How the attempt ended.
        reason: Explanation for logs and responses.
        error_response: Status, headers and body of a complete error response
            from the upstream, if there was one.
        is_connection_lost: Whether the connection broke during the request.
        is_link_failure: Whether the link may be at fault instead of the
            upstream.
        retry_after_s: Time after which another VM that refused the request
            wants it again in seconds, None if it named none.
        is_body_sent: Whether bytes of a streamed body were sent, so that it can
            not go elsewhere.
    """

    result: AttemptResult
    reason: str = ""
    error_response: tuple[int, list[tuple[bytes, bytes]], bytes] | None = None
    is_connection_lost: bool = False
    is_link_failure: bool = False
    is_body_sent: bool = True
    retry_after_s: float | None = None

"""How an attempt at one upstream ended."""

import dataclasses
import enum


class AttemptResult(enum.Enum):
    """How one attempt at an upstream ended."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    FAILED = "failed"
    UPSTREAM_ERROR = "upstream error"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt.

    Attributes:
        verdict: How it ended.
        reason: Why, for logs and responses.
        kept: A complete error response of the upstream, if there is one.
    """

    result: AttemptResult
    reason: str = ""
    error_response: tuple[int, list[tuple[bytes, bytes]], bytes] | None = None

"""What the attempts at one request have shown so far."""

import dataclasses

from bramleyworks.gateway import attempt_outcome
from bramleyworks.gateway import refused


@dataclasses.dataclass(slots=True)
class ExchangeProgress:
    """Changes with each attempt at a request.

    Attributes:
        last: Outcome of the latest attempt.
        attempts: Attempts that were made.
        sent: Those of them that may have run.
        error_response: Latest error response of an upstream: status, headers
            and body.
        refusal: How to refuse the request if no attempt is made.
        is_unreachable: Whether no upstream for it is reached from this VM.
    """

    last: attempt_outcome.Outcome = attempt_outcome.Outcome(
        attempt_outcome.AttemptResult.NOT_RUN, "no attempt was made"
    )
    attempts: int = 0
    sent: int = 0
    error_response: tuple[int, list[tuple[bytes, bytes]], bytes] | None = None
    refusal: refused.RefusedError | None = None
    is_unreachable: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.sent > 0

    def record(self, outcome: attempt_outcome.Outcome) -> None:
        """Adds the outcome of an attempt."""
        self.last = outcome
        self.attempts += 1
        if outcome.result is not attempt_outcome.AttemptResult.NOT_RUN:
            self.sent += 1
        self.error_response = outcome.error_response or self.error_response

"""The budget of retries of one service (section 3.5)."""

import dataclasses

RETRY_RATIO = 0.1
# Bounds the retries after a quiet time to those of 100 requests.
MAX_TOKENS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that may still be made.

    Attributes:
        saved: Retries earned by requests and not yet made.
    """

    tokens: float = 0.0


def after_request(state: RetryBudget) -> RetryBudget:
    """Returns the budget after a first attempt."""
    if state.tokens >= MAX_TOKENS:
        return state
    return RetryBudget(min(state.tokens + RETRY_RATIO, MAX_TOKENS))


def take(state: RetryBudget) -> tuple[RetryBudget, bool]:
    """Returns the budget after a retry, and whether the retry is allowed."""
    # Ten additions of 0.1 give slightly less than 1.
    if state.tokens < 1.0 - 1e-9:
        return state, False
    return RetryBudget(max(state.tokens - 1.0, 0.0)), True

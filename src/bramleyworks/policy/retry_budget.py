"""Retry budget of a service."""

import dataclasses

RETRY_RATIO = 0.1
# Limits the retries after an idle period to those earned by 100 requests.
MAX_TOKENS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that are still allowed.

    Attributes:
        tokens: Retries earned by requests and not yet made.
    """

    tokens: float = 0.0


def after_request(state: RetryBudget) -> RetryBudget:
    """Returns the budget after a first attempt."""
    if state.tokens >= MAX_TOKENS:
        return state
    return RetryBudget(min(state.tokens + RETRY_RATIO, MAX_TOKENS))


def take(state: RetryBudget) -> tuple[RetryBudget, bool]:
    """Returns the budget after a retry and whether the retry is allowed."""
    # Ten additions of 0.1 give slightly less than 1.
    if state.tokens < 1.0 - 1e-9:
        return state, False
    return RetryBudget(max(state.tokens - 1.0, 0.0)), True

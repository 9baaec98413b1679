"""What the slot task needs of the limit task."""

from typing import Protocol


class LinkLimiter(Protocol):
    """What is used of the limit task."""

    def try_take(self, limit: str, amount: float) -> bool:
        """Takes tokens that are there."""

    async def take(self, limit: str, amount: float, deadline_s: float) -> bool:
        """Takes tokens, borrowing them if needed."""

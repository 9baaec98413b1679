"""Interface of the limits that the slot task uses."""

from typing import Protocol


class LinkLimiter(Protocol):
    """Takes tokens of the limits of links; implemented by ``LimitTask``."""

    def try_take(self, limit: str, amount: float) -> bool:
        """Takes tokens without waiting; returns whether it did."""

    async def take(self, limit: str, amount: float, deadline_s: float) -> bool:
        """Takes tokens, waiting for them until a deadline at most."""

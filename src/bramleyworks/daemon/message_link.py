"""Interface of the peer link that tasks depend on."""

from collections.abc import Callable
from typing import Protocol


class MessageLink(Protocol):
    """The part of the peer link that tasks use."""

    def register(self, kind: type, handler: Callable) -> None:
        """Registers the handler for one message type."""

    def send(self, name: str, msg) -> bool:
        """Sends a message; returns False only if it was not sent."""

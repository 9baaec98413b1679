"""What tasks need of the peer link."""

from collections.abc import Callable
from typing import Protocol


class MessageLink(Protocol):
    """What is used of the peer link."""

    def register(self, kind: type, handler: Callable) -> None:
        """Sets a handler."""

    def send(self, name: str, msg) -> bool:
        """Sends a message; False if it was certainly not sent."""

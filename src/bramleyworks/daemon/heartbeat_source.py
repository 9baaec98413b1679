"""Where the content of our heartbeats comes from."""

from typing import Protocol

from bramleyworks.messages import heartbeat


class HeartbeatSource(Protocol):
    """Builds heartbeats from the state of all tasks."""

    def heartbeat(
        self, sequence: int, echo: int, echo_hold_s: float
    ) -> heartbeat.Heartbeat:
        """Returns the heartbeat to send to one neighbour."""

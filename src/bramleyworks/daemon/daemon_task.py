"""Interface that every task of the daemon implements."""

from typing import Protocol

from bramleyworks.document import stored_config
from bramleyworks.policy import fleet_view


class DaemonTask(Protocol):
    """A long-running task that owns its state.

    All methods are called on the event loop. ``on_config`` and ``on_fleet``
    must not block or raise. The constructor registers message handlers with
    the peer link.
    """

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Applies a newer configuration."""

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Handles a new view of the fleet, about once a second."""

    async def run(self) -> None:
        """Runs until cancelled."""

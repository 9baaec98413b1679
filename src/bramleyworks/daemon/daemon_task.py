"""What the daemon expects of each of its tasks."""

from typing import Protocol

from bramleyworks.document import stored_config
from bramleyworks.policy import fleet_view


class DaemonTask(Protocol):
    """A task that owns its state.

    All methods are called on the event loop. ``on_config`` and ``on_fleet``
    return quickly and never raise; message handlers are registered with the
    peer link by the constructor.
    """

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Takes a newer configuration into force."""

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Takes a new view of the fleet, about once a second."""

    async def run(self) -> None:
        """Runs until cancelled."""

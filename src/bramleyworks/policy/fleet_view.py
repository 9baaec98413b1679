"""A daemon's view of the fleet at a point in time."""

import dataclasses
from collections.abc import Mapping

from bramleyworks.policy import member
from bramleyworks.policy import relay_tree


@dataclasses.dataclass(frozen=True)
class FleetView:
    """The live members and the platform's list of VMs.

    Attributes:
        self_id: Name of the VM that holds the view.
        live: Members, by name, whose latest heartbeat was received within
            ``LIVE_TIMEOUT_S``; without this VM.
        listed: Names of the VMs on the platform's list that are not gone;
            None until the list has been read.
        leaving: Names of listed VMs that the platform is about to stop.
        received_s: Monotonic time of the latest heartbeat of each member, by
            name.
        regions: Region of each listed VM, by name.
    """

    self_id: str
    live: dict[str, member.Member]
    listed: frozenset[str] | None = None
    leaving: frozenset[str] = frozenset()
    received_s: dict[str, float] = dataclasses.field(default_factory=dict)
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def watcher_candidates(self, region: str) -> list[str]:
        """Returns the VMs of a region among which its watchers are chosen.

        In a fleet where all members are neighbours, these are the live members.
        In a larger fleet a VM receives heartbeats from only a few others, and
        most VMs would rank first among those, so the platform's list is used.

        Args:
            region: Name of the region.

        Returns:
            Names in any order, without this VM.
        """
        if len(self.regions) <= relay_tree.FANOUT:
            return [
                name
                for name, item in self.live.items()
                if item.heartbeat.region == region
            ]
        return [
            name
            for name, where in self.regions.items()
            if where == region and name != self.self_id
        ]

"""A daemon's view of the fleet at one moment."""

import dataclasses
from collections.abc import Mapping

from bramleyworks.policy import member
from bramleyworks.policy import relay_tree


@dataclasses.dataclass(frozen=True)
class FleetView:
    """The members a daemon can count on, and the platform's list.

    Attributes:
        self_id: Name of the VM that holds the view.
        live: Members heard from within ``LIVE_TIMEOUT_S``, by name, without
            itself.
        listed: Names of the VMs on the platform's list that are not gone;
            None while the list has never been read.
        leaving: Names of listed VMs that the platform is about to stop.
        received_s: Monotonic time at which each member was last heard, by name.
        regions: Region of each listed VM, by name.
    """

    self_id: str
    live: dict[str, member.Member]
    listed: frozenset[str] | None = None
    leaving: frozenset[str] = frozenset()
    received_s: dict[str, float] = dataclasses.field(default_factory=dict)
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def watcher_candidates(self, region: str) -> list[str]:
        """Returns the VMs of a region from which its few watchers are chosen.

        In a fleet in which all members are neighbours these are the live ones.
        In a larger one a VM hears few others, so that most VMs would rank
        themselves first among those; there the platform's list counts.

        Returns:
            Names without this VM's own, in any order.
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

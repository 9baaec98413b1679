"""A daemon's view of the fleet at one moment."""

import dataclasses

from bramleyworks.policy import member


@dataclasses.dataclass(frozen=True)
class FleetView:
    """The members a daemon can count on, and the platform's list.

    Attributes:
        self_id: Name of the VM that holds the view.
        live: Members heard from within ``LIVE_S``, by name, without itself.
        listed: Names of the VMs on the platform's list that are not gone;
            None while the list has never been read.
        leaving: Names of listed VMs that the platform is about to stop.
        heard_s: Monotonic time at which each member was last heard, by name.
    """

    self_id: str
    live: dict[str, member.Member]
    listed: frozenset[str] | None = None
    leaving: frozenset[str] = frozenset()
    heard_s: dict[str, float] = dataclasses.field(default_factory=dict)

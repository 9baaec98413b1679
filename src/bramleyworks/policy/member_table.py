"""Table of the fleet's members, built from received heartbeats."""

import collections
from collections.abc import Mapping

from bramleyworks.messages import heartbeat as heartbeat_module
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member

LIVE_TIMEOUT_S = 2.0
DEAD_TIMEOUT_S = 10.0
# A heartbeat of an earlier process of the VM may arrive late; a VM does not
# restart more than a few times within one message delay.
MAX_PAST_INCARNATIONS = 8
MAX_SENT_TIMES = 16


class MemberTable:
    """Latest heartbeat of each member.

    Mutable rather than frozen state, because every message updates it. All
    times are passed in.
    """

    def __init__(self, self_id: str):
        self._self_id = self_id
        self._members: dict[str, member.Member] = {}
        self._past_incarnations: dict[str, collections.deque[str]] = {}
        self._sent_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def record_sent(self, sequence: int, now_s: float) -> None:
        """Records when a heartbeat of this daemon was sent."""
        self._sent_s[sequence] = now_s
        while len(self._sent_s) > MAX_SENT_TIMES:
            self._sent_s.popitem(last=False)

    def handle_heartbeat(
        self, heartbeat: heartbeat_module.Heartbeat, now_s: float
    ) -> bool:
        """Updates the table with a received heartbeat.

        Args:
            heartbeat: The heartbeat.
            now_s: Monotonic time in seconds.

        Returns:
            False if it is this daemon's own, a duplicate, out of order or from
            an earlier process of the member.
        """
        if heartbeat.vm_id == self._self_id:
            return False
        past = self._past_incarnations.setdefault(
            heartbeat.vm_id, collections.deque(maxlen=MAX_PAST_INCARNATIONS)
        )
        if heartbeat.incarnation in past:
            return False
        known = self._members.get(heartbeat.vm_id)
        if known:
            if known.heartbeat.incarnation != heartbeat.incarnation:
                past.append(known.heartbeat.incarnation)
            elif known.heartbeat.sequence >= heartbeat.sequence:
                return False
        sent_s = self._sent_s.get(heartbeat.echo, float("-inf"))
        as_of_s = sent_s + max(0.0, min(heartbeat.echo_hold_s, now_s - sent_s))
        self._members[heartbeat.vm_id] = member.Member(
            heartbeat, now_s, as_of_s
        )
        return True

    def echo(self, vm_id: str, now_s: float) -> tuple[int, float]:
        """Returns what a heartbeat to a member has to echo.

        Returns:
            The sequence number of the member's latest heartbeat and its age in
            seconds; both 0 for an unknown member.
        """
        known = self._members.get(vm_id)
        if known is None:
            return 0, 0.0
        return known.heartbeat.sequence, now_s - known.received_s

    def members(self) -> dict[str, member.Member]:
        """Returns all members, live or not, that were not removed, by name."""
        return dict(self._members)

    def remove(self, vm_id: str) -> None:
        """Removes a member that the platform has deleted."""
        self._members.pop(vm_id, None)

    def view(
        self,
        now_s: float,
        listed: frozenset[str] | None,
        leaving: frozenset[str],
        regions: Mapping[str, str] | None = None,
    ) -> fleet_view.FleetView:
        """Returns the view of the fleet at a point in time.

        Args:
            now_s: Monotonic time in seconds.
            listed: Names of the VMs on the platform's list, None if it was
                never read.
            leaving: Names of listed VMs that are about to stop.
            regions: Region of each listed VM, by name.
        """
        return fleet_view.FleetView(
            self_id=self._self_id,
            live={
                name: known
                for name, known in self._members.items()
                if now_s - known.received_s <= LIVE_TIMEOUT_S
            },
            listed=listed,
            leaving=leaving,
            received_s={
                name: known.received_s for name, known in self._members.items()
            },
            regions=regions or {},
        )

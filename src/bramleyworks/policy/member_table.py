"""The members of the fleet as one daemon hears them."""

import collections
from collections.abc import Mapping

from bramleyworks.messages import heartbeat as heartbeat_module
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member

LIVE_TIMEOUT_S = 2.0
DEAD_TIMEOUT_S = 10.0
# A heartbeat of an earlier process of the VM may arrive late; more than a few
# restarts within one message delay do not happen.
MAX_PAST_INCARNATIONS = 8
MAX_SENT_TIMES = 16


class MemberTable:
    """Newest heartbeat of each member; changed in place by its owner.

    A plain class rather than frozen state, because it is updated by each
    message; all times are passed in.
    """

    def __init__(self, self_id: str):
        self._self_id = self_id
        self._members: dict[str, member.Member] = {}
        self._past_incarnations: dict[str, collections.deque[str]] = {}
        self._sent_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def record_sent(self, sequence: int, now_s: float) -> None:
        """Remembers when one of our heartbeats was sent."""
        self._sent_s[sequence] = now_s
        while len(self._sent_s) > MAX_SENT_TIMES:
            self._sent_s.popitem(last=False)

    def handle_heartbeat(
        self, heartbeat: heartbeat_module.Heartbeat, now_s: float
    ) -> bool:
        """Takes a heartbeat.

        Returns:
            False if it is our own, a repeat, or from an earlier process.
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
        state_s = sent_s + max(0.0, min(heartbeat.echo_hold_s, now_s - sent_s))
        self._members[heartbeat.vm_id] = member.Member(
            heartbeat, now_s, state_s
        )
        return True

    def echo(self, vm_id: str, now_s: float) -> tuple[int, float]:
        """Returns the sequence to echo to a member and how long ago it came."""
        known = self._members.get(vm_id)
        if known is None:
            return 0, 0.0
        return known.heartbeat.sequence, now_s - known.received_s

    def members(self) -> dict[str, member.Member]:
        """Returns all members ever heard of and not forgotten, by name."""
        return dict(self._members)

    def remove(self, vm_id: str) -> None:
        """Drops a member that the platform has taken away."""
        self._members.pop(vm_id, None)

    def view(
        self,
        now_s: float,
        listed: frozenset[str] | None,
        leaving: frozenset[str],
        regions: Mapping[str, str] | None = None,
    ) -> fleet_view.FleetView:
        """Returns the view of the fleet at one moment."""
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

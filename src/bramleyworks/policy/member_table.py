"""The members of the fleet as one daemon hears them."""

import collections
from collections.abc import Mapping

from bramleyworks.messages import heartbeat
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member

LIVE_S = 2.0
DEAD_S = 10.0
# A heartbeat of an earlier process of the VM may arrive late; more than a few
# restarts within one message delay do not happen.
PAST_INCARNATIONS = 8
SENT_TIMES = 16


class MemberTable:
    """Newest heartbeat of each member; changed in place by its owner.

    A plain class rather than frozen state, because it is updated by each
    message; all times are passed in.
    """

    def __init__(self, self_id: str):
        self._self_id = self_id
        self._members: dict[str, member.Member] = {}
        self._past: dict[str, collections.deque[str]] = {}
        self._sent_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def note_sent(self, sequence: int, now_s: float) -> None:
        """Remembers when one of our heartbeats was sent."""
        self._sent_s[sequence] = now_s
        while len(self._sent_s) > SENT_TIMES:
            self._sent_s.popitem(last=False)

    def hear(self, beat: heartbeat.Heartbeat, now_s: float) -> bool:
        """Takes a heartbeat.

        Returns:
            False if it is our own, a repeat, or from an earlier process.
        """
        if beat.vm_id == self._self_id:
            return False
        past = self._past.setdefault(
            beat.vm_id, collections.deque(maxlen=PAST_INCARNATIONS)
        )
        if beat.incarnation in past:
            return False
        known = self._members.get(beat.vm_id)
        if known:
            if known.beat.incarnation != beat.incarnation:
                past.append(known.beat.incarnation)
            elif known.beat.sequence >= beat.sequence:
                return False
        sent_s = self._sent_s.get(beat.echo, float("-inf"))
        state_s = sent_s + max(0.0, min(beat.echo_hold_s, now_s - sent_s))
        self._members[beat.vm_id] = member.Member(beat, now_s, state_s)
        return True

    def echo(self, vm_id: str, now_s: float) -> tuple[int, float]:
        """Returns the sequence to echo to a member and how long ago it came."""
        known = self._members.get(vm_id)
        if known is None:
            return 0, 0.0
        return known.beat.sequence, now_s - known.heard_s

    def members(self) -> dict[str, member.Member]:
        """Returns all members ever heard of and not forgotten, by name."""
        return dict(self._members)

    def forget(self, vm_id: str) -> None:
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
                if now_s - known.heard_s <= LIVE_S
            },
            listed=listed,
            leaving=leaving,
            heard_s={
                name: known.heard_s for name, known in self._members.items()
            },
            regions=regions or {},
        )

"""Builds the daemon's heartbeats from the state of its tasks."""

from bramleyworks.daemon import config_task
from bramleyworks.daemon import identity
from bramleyworks.daemon import ledger_task
from bramleyworks.daemon import move_task
from bramleyworks.daemon import slot_task
from bramleyworks.messages import heartbeat


class HeartbeatBuilder:
    """Builds heartbeats from the state of the daemon's tasks.

    Attributes:
        draining: Whether this daemon is draining before it stops.
    """

    def __init__(
        self,
        me: identity.Identity,
        config: config_task.ConfigTask,
        ledger: ledger_task.LedgerTask,
        slots: slot_task.SlotTask,
        moves: move_task.MoveTask,
    ):
        self._me = me
        self._config = config
        self._ledger = ledger
        self._slots = slots
        self._moves = moves
        self.draining = False

    def build(
        self, sequence: int, echo: int, echo_hold_s: float
    ) -> heartbeat.Heartbeat:
        """Returns the heartbeat to send to one peer.

        Args:
            sequence: Sequence number of this heartbeat.
            echo: Sequence number of the latest heartbeat from that peer.
            echo_hold_s: Seconds since that heartbeat was received.
        """
        return heartbeat.Heartbeat(
            vm_id=self._me.vm_id,
            incarnation=self._me.incarnation,
            sequence=sequence,
            region=self._me.region,
            failure_domain=self._me.failure_domain,
            http=self._me.http,
            peer=self._me.peer,
            config_version=self._config.version,
            fresh_age_s=self._config.fresh_age_s(),
            draining=self.draining,
            ledger_epoch=self._ledger.epoch(),
            free_slots=self._slots.free_slots(),
            counts=self._moves.heartbeat_counts(),
            cuts=self._moves.aborted_moves(),
            echo=echo,
            echo_hold_s=echo_hold_s,
            joined=self._config.joined,
            serving=self._config.is_fresh_now(),
        )

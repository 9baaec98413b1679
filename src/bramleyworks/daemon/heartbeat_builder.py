"""Builds our heartbeats from the state of all tasks."""

from bramleyworks.daemon import config_task
from bramleyworks.daemon import identity
from bramleyworks.daemon import ledger_task
from bramleyworks.daemon import move_task
from bramleyworks.daemon import slot_task
from bramleyworks.messages import heartbeat


class HeartbeatBuilder:
    """Reads the tasks; owns nothing but the draining flag.

    Attributes:
        draining: Whether this daemon is about to stop.
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
        """Returns the heartbeat to send to one neighbour.

        Args:
            sequence: Number of this heartbeat.
            echo: Sequence of the newest heartbeat from that neighbour.
            echo_hold_s: Seconds since it arrived.
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

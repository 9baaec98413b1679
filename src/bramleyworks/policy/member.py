"""What a daemon knows about one member of the fleet."""

import dataclasses

from bramleyworks.messages import heartbeat


@dataclasses.dataclass(frozen=True)
class Member:
    """One daemon as last heard of.

    Attributes:
        beat: The newest heartbeat of its newest incarnation.
        heard_s: Monotonic time of this process at which it arrived.
        state_s: Monotonic time of this process at which the member's state
            was surely as in the heartbeat; earlier than ``heard_s``, because
            it counts from the sending of our heartbeat that it echoes.
            ``-inf`` without an echo.
    """

    beat: heartbeat.Heartbeat
    heard_s: float
    state_s: float = float("-inf")

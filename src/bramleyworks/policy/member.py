"""What a daemon knows about one member of the fleet."""

import dataclasses

from bramleyworks.messages import heartbeat as heartbeat_module


@dataclasses.dataclass(frozen=True)
class Member:
    """One daemon as last heard of.

    Attributes:
        heartbeat: The newest heartbeat of its newest incarnation.
        received_s: Monotonic time of this process at which it arrived.
        as_of_s: Monotonic time of this process at which the member's state
            was surely as in the heartbeat; earlier than ``received_s``, because
            it counts from the sending of our heartbeat that it echoes.
            ``-inf`` without an echo.
    """

    heartbeat: heartbeat_module.Heartbeat
    received_s: float
    as_of_s: float = float("-inf")

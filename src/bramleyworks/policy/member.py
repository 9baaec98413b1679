"""What a daemon knows about one member of the fleet."""

import dataclasses

from bramleyworks.messages import heartbeat


@dataclasses.dataclass(frozen=True)
class Member:
    """One daemon as last heard of.

    Attributes:
        beat: The newest heartbeat of its newest incarnation.
        heard_s: Monotonic time of this process at which it arrived.
        fresh_s: Monotonic time of this process up to which the member's
            configuration is confirmed by the store; ``-inf`` if never.
    """

    beat: heartbeat.Heartbeat
    heard_s: float
    fresh_s: float = float("-inf")

"""A member of the fleet as known to a daemon."""

import dataclasses

from bramleyworks.messages import heartbeat as heartbeat_module


@dataclasses.dataclass(frozen=True)
class Member:
    """Latest heartbeat of a daemon; times are local monotonic seconds.

    Attributes:
        heartbeat: Latest heartbeat of its latest incarnation.
        received_s: Time at which the heartbeat was received.
        as_of_s: Time at which the member's state was certainly as in the
            heartbeat. Earlier than ``received_s``, because it is derived from
            the time at which this daemon sent the heartbeat that the member
            echoes. ``-inf`` without an echo.
    """

    heartbeat: heartbeat_module.Heartbeat
    received_s: float
    as_of_s: float = float("-inf")

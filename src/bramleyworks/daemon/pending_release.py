"""A slot release that its owner has not confirmed."""

import dataclasses

from bramleyworks.messages import slot_release


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRelease:
    """A release that is sent again until it is confirmed.

    Attributes:
        msg: The release.
        again_s: Monotonic time of the next try.
        end_s: Monotonic time from which the owner takes the slot back itself.
    """

    msg: slot_release.SlotRelease
    next_send_s: float
    reclaim_s: float

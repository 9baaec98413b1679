"""A slot release that the owner has not confirmed yet."""

import dataclasses

from bramleyworks.messages import slot_release


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRelease:
    """A release that is resent until the owner confirms it.

    Attributes:
        msg: The release.
        next_send_s: Monotonic time at which to resend it.
        reclaim_s: Monotonic time from which the owner reclaims the slot itself,
            so that the release is not needed any more.
    """

    msg: slot_release.SlotRelease
    next_send_s: float
    reclaim_s: float

"""Which VM holds a duty that one VM at a time performs.

The holder has a key with a lease in the store. All VMs see the key and decide
with the same order of preference who tries to write it when it is absent.
"""

import math
from collections.abc import Mapping

from bramleyworks.policy import rendezvous

# Bits of a fencing token that hold the revision. Eras count restores of the
# store, so that a token stays below 2**53 for some thousand of them.
REVISION_BITS = 40
# Delay of each further VM in the order of preference, longer than it takes the
# replicas to show what the one before wrote.
STAGGER_S = 0.4
# Bounds the delay in a large fleet, of which the first VMs rarely all fail.
MAX_STAGGER_S = 3.2
# The time of day of a VM that has just started has not been compared with that
# of other VMs. They do so each second.
YOUNG_S = 5.0
YOUNG_DELAY_S = 2.0


def fencing_token(era: int, revision: int) -> int:
    """Returns the fencing token of a holder.

    Args:
        era: Era of the store in which it wrote its key.
        revision: Revision of that write.
    """
    return era << REVISION_BITS | revision


def rank(duty: str, links_mbps: Mapping[str, float]) -> list[str]:
    """Returns VMs in the order in which they try to become the holder.

    Args:
        duty: Name of the duty.
        links_mbps: Bandwidth of each VM's link by id. The holder receives
            messages of all VMs, so that wide links go first.
    """
    return sorted(
        rendezvous.rank(duty, links_mbps), key=lambda name: -links_mbps[name]
    )


class Candidacy:
    """Decides when this VM tries to become the holder."""

    def __init__(self, own_id: str, lease_s: float):
        """Initializes the decision before the replica was read.

        Args:
            own_id: Name of this VM.
            lease_s: Seconds for which a holder that was lost keeps its key.
        """
        self._own_id = own_id
        self._lease_s = lease_s
        self._absent_since_s = math.inf
        self._blocked_until_s = -math.inf
        self._was_holder = False

    def observe(self, holder: str | None, now_s: float) -> None:
        """Records the holder that the replica of the store shows.

        A VM that held the duty before waits for a lease after the end of the
        holder that followed, so that the duty does not go back and forth.

        Args:
            holder: Name of the VM, None if there is none.
            now_s: Monotonic time in seconds.
        """
        if holder is not None:
            self._absent_since_s = math.inf
            if holder == self._own_id:
                self._was_holder = True
            elif self._was_holder:
                self.block(now_s + self._lease_s)
        elif self._absent_since_s == math.inf:
            self._absent_since_s = now_s

    def block(self, until_s: float) -> None:
        """Prevents attempts until a monotonic time in seconds."""
        self._blocked_until_s = max(self._blocked_until_s, until_s)

    def delay_s(
        self, duty: str, links_mbps: Mapping[str, float], uptime_s: float
    ) -> float:
        """Returns how long this VM leaves the duty to those before it.

        Args:
            duty: Name of the duty.
            links_mbps: Bandwidth of the links of this VM and of those whose
                heartbeats arrive, by id.
            uptime_s: Seconds since this VM started.
        """
        position = rank(duty, links_mbps).index(self._own_id)
        delay_s = min(MAX_STAGGER_S, STAGGER_S * position)
        return delay_s + (YOUNG_DELAY_S if uptime_s < YOUNG_S else 0.0)

    def is_due(self, now_s: float, delay_s: float) -> bool:
        """Returns whether this VM should try now.

        Args:
            now_s: Monotonic time in seconds.
            delay_s: As returned by ``delay_s``.
        """
        return (
            now_s >= self._absent_since_s + delay_s
            and now_s >= self._blocked_until_s
        )

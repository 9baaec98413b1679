"""Whether a VM is cut off from all upstreams, and which VM stands in for it.

Answers two loads. A cut VM has callers and no upstreams, while other VMs have
both: its requests are worth an additional hop. When the upstreams themselves
are down, no VM reaches one, and requests must not travel between VMs in vain.
"""

import dataclasses
import enum
import random
from collections.abc import Iterable
from collections.abc import Mapping

# Multiple of the expected latency after which a request is overdue. Others may
# be slow; it counts only if no upstream at all has responded since.
OVERDUE_FACTOR = 3.0
MIN_OVERDUE_S = 0.5
# Upstreams that fail before all of them are suspected. One alone is enough
# after a time without any response.
MIN_FAILED_UPSTREAMS = 2
MIN_QUIET_S = 0.5
# Age up to which the last response to a VM shows that it reaches upstreams. It
# covers a few lost heartbeats.
CONTACT_TTL_S = 2.0


class Reach(enum.Enum):
    """What is known of whether a VM reaches upstreams."""

    CONTACT = "contact"
    UNKNOWN = "unknown"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A VM that may pass on requests.

    Attributes:
        id: Name of the VM.
        region: Its region.
        address: Address for requests of other VMs, ``IP:PORT``.
        reach: Whether it reaches upstreams of the service in question.
    """

    id: str
    region: str
    address: str
    reach: Reach


def overdue_after_s(expected_s: float) -> float:
    """Returns the seconds after which a response is overdue.

    Args:
        expected_s: Expected latency of the request in seconds.
    """
    return max(MIN_OVERDUE_S, OVERDUE_FACTOR * expected_s)


def is_suspect(failed_upstreams: int, quiet_s: float) -> bool:
    """Returns whether a VM may be cut off and should probe upstreams.

    Args:
        failed_upstreams: Upstreams that failed, or are overdue, since the last
            response from any upstream.
        quiet_s: Seconds since that response.
    """
    if failed_upstreams >= MIN_FAILED_UPSTREAMS:
        return True
    return failed_upstreams > 0 and quiet_s >= MIN_QUIET_S


def reach_of(age_s: float | None, is_cut_off: bool) -> Reach:
    """Returns what is known of a VM's reach.

    Args:
        age_s: Seconds since an upstream last responded to it, None if unknown.
        is_cut_off: Whether its own probes reach no upstream.
    """
    if is_cut_off:
        return Reach.NONE
    if age_s is not None and age_s <= CONTACT_TTL_S:
        return Reach.CONTACT
    return Reach.UNKNOWN


def rank_peers(
    candidates: Iterable[Peer],
    in_flight: Mapping[str, int],
    own_region: str,
    regions: frozenset[str],
    max_in_flight: int,
    needs_contact: bool,
) -> list[Peer]:
    """Returns the VMs that may pass on a request, the best one first.

    A VM that has had a response from upstreams comes before one that was idle,
    a VM of the own region before others, a less used one before others.

    Args:
        candidates: VMs that accept callers.
        in_flight: Requests that this VM has in flight at other VMs.
        own_region: Region of this VM.
        regions: Regions that may see the request, empty for all.
        max_in_flight: Requests that this VM may have in flight at one VM.
        needs_contact: Whether to leave out VMs that were idle.
    """
    allowed = {Reach.CONTACT} if needs_contact else set(Reach) - {Reach.NONE}
    found = [
        c
        for c in candidates
        if c.reach in allowed
        and (not regions or c.region in regions)
        and in_flight.get(c.id, 0) < max_in_flight
    ]
    random.shuffle(found)
    found.sort(
        key=lambda c: (
            c.reach is not Reach.CONTACT,
            c.region != own_region,
            in_flight.get(c.id, 0),
        )
    )
    return found


def entry_candidates(
    ready: Iterable[str], reach: Mapping[str, Reach]
) -> frozenset[str]:
    """Returns the VMs that callers should be told of.

    VMs that are cut off are left out only if another one has contact: while
    upstreams are down or nobody knows better, all of them are as good.

    Args:
        ready: Names of the VMs that accept callers.
        reach: What is known of their reach.
    """
    names = frozenset(ready)
    reaching = {n for n in names if reach.get(n) is not Reach.NONE}
    has_contact = any(reach.get(n) is Reach.CONTACT for n in reaching)
    return frozenset(reaching) if has_contact else names

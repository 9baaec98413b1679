"""This VM's part of an organisation's rate and burst.

All VMs know about the same demand from heartbeats, so that the parts add up to
about the whole without a common ledger. A part follows demand, since callers
of one organisation may all enter through few VMs.
"""

from collections.abc import Iterable

# Part of the rate that is dealt out evenly whatever the demand, so that a VM
# that gets its first requests of an organisation can serve some at once.
EVEN_PART = 0.2


def share(own: float, others: Iterable[float], expected_vms: int) -> float:
    """Returns this VM's part of a limit.

    Args:
        own: Requests per second that the organisation sends to this VM.
        others: The same for each other live VM.
        expected_vms: VMs to reckon with, heard from or not.
    """
    rates = list(others)
    vms = max(expected_vms, len(rates) + 1)
    total = own + sum(rates)
    even = 1.0 / vms
    if total <= 0.0:
        return even
    return EVEN_PART * even + (1 - EVEN_PART) * own / total

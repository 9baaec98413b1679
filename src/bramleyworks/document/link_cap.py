"""The cap on traffic shifted between two regions."""

import msgspec


class LinkCap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cap on requests shifted from one region to another.

    Attributes:
        source: Region in which the requests arrive.
        target: Region that runs them.
        requests_per_s: Shifted requests per second over all VMs.
        bits_per_s: Shifted traffic in bits per second over all VMs.
    """

    source: str
    target: str
    requests_per_s: float
    bits_per_s: float = 4e9

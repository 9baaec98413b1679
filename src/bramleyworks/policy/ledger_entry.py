"""The entry of one VM in the ledger."""

import msgspec


class LedgerEntry(msgspec.Struct, frozen=True):
    """What one VM holds.

    Attributes:
        incarnation: Process that holds the entry.
        units: Its units of every limit.
        region: Region of the VM, for the fair numbers of upstreams.
        upstreams: Upstreams it owns, sorted.
    """

    incarnation: str
    units: int
    region: str = ""
    upstreams: tuple[str, ...] = ()

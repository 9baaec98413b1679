"""The entry of one VM in the ledger."""

import msgspec


class LedgerEntry(msgspec.Struct, frozen=True):
    """Units and upstreams assigned to one VM.

    Attributes:
        incarnation: Process of the VM that holds the entry.
        units: Units of every limit.
        region: Region of the VM, used to divide the upstreams fairly.
        upstreams: Names of the upstreams it owns, sorted.
    """

    incarnation: str
    units: int
    region: str = ""
    upstreams: tuple[str, ...] = ()

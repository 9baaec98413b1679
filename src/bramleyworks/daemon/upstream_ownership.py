"""Interface of the ownership of upstreams that the slot task uses."""

from typing import Protocol


class UpstreamOwnership(Protocol):
    """Reports which VM owns each upstream; implemented by ``LedgerTask``.

    After a pause of the process, ``owned`` must be empty until the ledger entry
    of this VM has been confirmed.
    """

    def owned(self) -> frozenset[str]:
        """Returns the names of the upstreams that this VM owns."""

    def owner_of(self, upstream: str) -> str | None:
        """Returns the VM that owns an upstream, None if it is unknown."""

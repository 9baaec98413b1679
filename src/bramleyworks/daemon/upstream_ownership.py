"""What the slot task needs of the ledger task."""

from typing import Protocol


class UpstreamOwnership(Protocol):
    """What is used of the ledger task.

    After a pause of the process ``owned`` must be empty until the record has
    been confirmed.
    """

    def owned(self) -> frozenset[str]:
        """Names of the upstreams this VM owns."""

    def owner_of(self, upstream: str) -> str | None:
        """Name of the VM that owns an upstream."""

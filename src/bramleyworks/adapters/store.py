"""The interface to the platform's key-value store."""

from typing import Protocol

from bramleyworks.adapters import store_entry
from bramleyworks.adapters import store_lease


class Store(Protocol):
    """A small store with compare-and-swap, leases and watches.

    All calls raise ``errors.StoreError`` when the store can not be reached
    within the call's timeout.
    """

    async def get(self, key: str) -> store_entry.StoreEntry | None:
        """Returns the entry of a key, or None if it has none."""

    async def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> store_entry.StoreEntry:
        """Writes a value if the key still has the expected revision.

        Args:
            key: Key to write.
            value: At most 1 MB.
            expected_revision: Revision that the key must have, 0 for a new key.

        Returns:
            The new entry.

        Raises:
            errors.StoreConflictError: Another write came first.
            errors.StoreUnknownError: The write may have taken effect.
        """

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> store_entry.StoreEntry | None:
        """Waits until the key's revision exceeds ``after_revision``.

        Returns:
            The newer entry, or None if there was none within ``wait_s``; both
            confirm which revision is the latest.
        """

    async def acquire_lease(
        self, name: str, holder: str, ttl_s: float
    ) -> store_lease.StoreLease | None:
        """Acquires or renews a lease; returns None if another holder has it.

        The lifetime counts from before the call was sent. The fencing token
        increases with each change of holder.
        """

    async def release_lease(self, name: str, holder: str) -> None:
        """Releases a lease."""

"""Model of the platform's store."""

import asyncio
from collections.abc import Callable

from bramleyworks import errors
from bramleyworks.adapters import store_entry
from bramleyworks.adapters import store_lease
from bramleyworks_standins import store_data

TIMEOUT_S = 1.5


class ModelStore:
    """Data and availability of the store.

    Attributes:
        data: Entries and leases.
        down: Whether all calls fail.
        partitioned_regions: Regions that cannot reach the store.
        calls: Number of calls; a watch counts once.
    """

    def __init__(self, clock: Callable[[], float]):
        self.data = store_data.StoreData(clock)
        self.down = False
        self.partitioned_regions: set[str] = set()
        self.calls = 0


class StoreClient:
    """Implements ``platform.store.Store`` for one VM."""

    def __init__(
        self,
        store: ModelStore,
        region: str,
        delay_s: float,
        clock: Callable[[], float],
    ):
        self._store = store
        self._region = region
        self._delay_s = delay_s
        self._clock = clock

    async def _send_request(self, step: str) -> None:
        self._store.calls += 1
        if self._is_unreachable():
            await asyncio.sleep(TIMEOUT_S)
            raise errors.StoreError(step, "store", "no response")
        await asyncio.sleep(self._delay_s)

    def _is_unreachable(self) -> bool:
        return (
            self._store.down or self._region in self._store.partitioned_regions
        )

    def _entry(self, key: str) -> store_entry.StoreEntry | None:
        entry = self._store.data.entries.get(key)
        return store_entry.StoreEntry(key, *entry) if entry else None

    async def get(self, key: str) -> store_entry.StoreEntry | None:
        """Returns the entry of a key, None if it does not exist."""
        await self._send_request("store.get")
        entry = self._entry(key)
        await asyncio.sleep(self._delay_s)
        return entry

    async def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> store_entry.StoreEntry:
        """Writes a value by compare-and-swap."""
        await self._send_request("store.put")
        revision = self._store.data.put(key, value, expected_revision)
        await asyncio.sleep(self._delay_s)
        if self._is_unreachable():
            raise errors.StoreUnknownError("store.put", "store", "reply lost")
        if revision is None:
            raise errors.StoreConflictError("store.put", "store", key)
        return store_entry.StoreEntry(key, value, revision)

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> store_entry.StoreEntry | None:
        """Returns the entry once it is newer than a revision.

        Returns None after ``wait_s`` seconds without a newer revision.
        """
        await self._send_request("store.watch")
        end_s = self._clock() + wait_s
        while self._store.data.revision_of(key) <= after_revision:
            remaining_s = end_s - self._clock()
            if remaining_s <= 0:
                break
            changed = self._store.data.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                break
        await asyncio.sleep(self._delay_s)
        if self._is_unreachable():
            raise errors.StoreError("store.watch", "store", "no response")
        if self._store.data.revision_of(key) <= after_revision:
            return None
        return self._entry(key)

    async def acquire_lease(
        self, name: str, holder: str, ttl_s: float
    ) -> store_lease.StoreLease | None:
        """Acquires or renews a lease; returns None if another VM holds it."""
        sent_s = self._clock()
        await self._send_request("store.acquire_lease")
        token = self._store.data.acquire(name, holder, ttl_s)
        await asyncio.sleep(self._delay_s)
        if token is None:
            return None
        return store_lease.StoreLease(name, holder, token, sent_s + ttl_s)

    async def release_lease(self, name: str, holder: str) -> None:
        """Releases a lease."""
        await self._send_request("store.release_lease")
        self._store.data.release(name, holder)

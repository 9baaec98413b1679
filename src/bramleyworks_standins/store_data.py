"""Entries and leases of the stand-in store."""

import asyncio
import time
from collections.abc import Callable


class StoreData:
    """Entries with a revision counter common to all keys, and leases.

    Attributes:
        entries: Value and revision by key.
        changed: Event that is set and replaced on each change and by ``wake``.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._revision = 0
        self._token = 0
        self._leases: dict[str, tuple[str, int, float]] = {}
        self.entries: dict[str, tuple[bytes, int]] = {}
        self.changed = asyncio.Event()

    def wake(self) -> None:
        """Wakes all waiting watches, which then check their condition."""
        self.changed.set()
        self.changed = asyncio.Event()

    def revision_of(self, key: str) -> int:
        """Returns the revision of a key, 0 if it has no entry."""
        return self.entries.get(key, (b"", 0))[1]

    def put(self, key: str, value: bytes, expected: int) -> int | None:
        """Writes a value if the key has the expected revision.

        Returns:
            The new revision, None if the key has another revision.
        """
        if self.revision_of(key) != expected:
            return None
        self._revision += 1
        self.entries[key] = (value, self._revision)
        self.wake()
        return self._revision

    def acquire(self, name: str, holder: str, ttl_s: float) -> int | None:
        """Acquires or renews a lease.

        Returns:
            The fencing token, None if another holder has the lease. The token
            stays the same on renewal and increases after a gap.
        """
        now_s = self._clock()
        lease = self._leases.get(name)
        if lease and lease[2] > now_s:
            if lease[0] != holder:
                return None
            token = lease[1]
        else:
            self._token += 1
            token = self._token
        self._leases[name] = (holder, token, now_s + ttl_s)
        return token

    def release(self, name: str, holder: str) -> None:
        """Releases a lease if it belongs to this holder."""
        lease = self._leases.get(name)
        if lease and lease[0] == holder:
            del self._leases[name]

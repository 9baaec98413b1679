"""An in-memory store that can fail as the real one does."""

import asyncio

from bramleyworks import errors
from bramleyworks.adapters import store_entry
from bramleyworks.adapters import store_lease


class FakeStore:
    """Implements ``adapters.store.Store``.

    Attributes:
        down: Whether each call fails without effect.
        lose_replies: Number of next writes that take effect and then fail.
        calls: Number of calls so far.
    """

    def __init__(self, clock):
        self._clock = clock
        self._entries = {}
        self._leases = {}
        self._revision = 0
        self._token = 0
        self._changed = asyncio.Event()
        self.down = False
        self.lose_replies = 0
        self.calls = 0

    def _call(self, step):
        self.calls += 1
        if self.down:
            raise errors.StoreError(step, "fake", "the store is down")

    async def get(self, key):
        self._call("store.get")
        return self._entries.get(key)

    async def put(self, key, value, expected_revision):
        self._call("store.put")
        current = self._entries.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise errors.StoreConflictError("store.put", "fake", key)
        self._revision += 1
        entry = store_entry.StoreEntry(key, value, self._revision)
        self._entries[key] = entry
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lose_replies:
            self.lose_replies -= 1
            raise errors.StoreUnknownError("store.put", "fake", "reply lost")
        return entry

    async def watch(self, key, after_revision, wait_s):
        self._call("store.watch")
        entry = self._entries.get(key)
        if entry is None or entry.revision <= after_revision:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                pass
            if self.down:
                raise errors.StoreError("store.watch", "fake", "down")
            entry = self._entries.get(key)
        if entry is None or entry.revision <= after_revision:
            return None
        return entry

    async def acquire_lease(self, name, holder, ttl_s):
        self._call("store.acquire_lease")
        now_s = self._clock()
        current = self._leases.get(name)
        if current and current.holder != holder and current.expires_s > now_s:
            return None
        if (
            current is None
            or current.holder != holder
            or current.expires_s <= now_s
        ):
            self._token += 1
            token = self._token
        else:
            token = current.token
        lease = store_lease.StoreLease(name, holder, token, now_s + ttl_s)
        self._leases[name] = lease
        if self.lose_replies:
            self.lose_replies -= 1
            raise errors.StoreUnknownError("store.lease", "fake", "reply lost")
        return lease

    async def release_lease(self, name, holder):
        self._call("store.release_lease")
        current = self._leases.get(name)
        if current and current.holder == holder:
            del self._leases[name]

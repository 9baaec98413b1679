"""Registration of a VM in a store that is restored."""

import asyncio

from bramleyworks.gateway import registration
from bramleyworks.gateway import vm

OWN = vm.Vm("vm1", 1, "one", "one-a", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3")


class FakeStore:
    """A store whose leases start from the same id in each era."""

    def __init__(self):
        self.era = 1
        self.next_lease = 100
        self.calls = []

    async def grant_lease(self, ttl_s):
        self.next_lease += 1
        self.calls.append(("grant", self.next_lease))
        return self.next_lease

    async def put(self, key, value, expected_revision, lease_id):
        self.calls.append(("put", key, lease_id))

    async def renew_lease(self, lease_id):
        self.calls.append(("renew", lease_id))

    async def revoke_lease(self, lease_id):
        self.calls.append(("revoke", lease_id))


async def run_for(own, seconds):
    task = asyncio.create_task(own.run())
    await asyncio.sleep(seconds)
    task.cancel()


async def test_lease_of_an_earlier_era_is_neither_renewed_nor_revoked(
    monkeypatch,
):
    """Guards against a VM that ends the lease of another one."""
    monkeypatch.setattr(registration, "RENEW_INTERVAL_S", 0.02)
    store = FakeStore()
    own = registration.Registration(store, OWN)
    await run_for(own, 0.1)
    assert store.calls[:3] == [
        ("grant", 101),
        ("put", "bw/vm/vm1", 101),
        ("renew", 101),
    ]
    store.era, store.next_lease = 2, 103
    store.calls.clear()
    await own.withdraw()
    assert store.calls == []


async def test_registration_that_a_restore_lost_is_written_again(monkeypatch):
    monkeypatch.setattr(registration, "RENEW_INTERVAL_S", 0.02)
    store = FakeStore()
    own = registration.Registration(store, OWN)
    await run_for(own, 0.05)
    store.era, store.next_lease = 2, 103
    store.calls.clear()
    await run_for(own, 0.05)
    assert store.calls[:2] == [("grant", 104), ("put", "bw/vm/vm1", 104)]
    await own.withdraw()
    assert store.calls[-1] == ("revoke", 104)

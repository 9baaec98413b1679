"""Registers this VM in the store while it runs."""

import asyncio
import random

from absl import logging

from bramleyworks import errors
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import kv_store
from bramleyworks.platform import store_keys
from bramleyworks.platform import wire_updates

# Lifetime of the registration of a VM that was lost. Peers detect the loss by
# heartbeats in 1.5 s; registrations only serve VMs that have just started.
LEASE_TTL_S = 4.0
RENEW_INTERVAL_S = 1.5
RETRY_DELAY_S = 0.5


class Registration:
    """Keeps one store item alive with a lease."""

    def __init__(self, store: kv_store.KvStore, own: vm_module.Vm):
        """Initializes the registration without writing to the store.

        Args:
            store: Client of the store.
            own: This VM.
        """
        self._store = store
        self._own = own
        self._lease: int | None = None
        # Era in which the lease was granted. A restored store has lost the
        # lease, and may grant its id to another VM.
        self._lease_era = 0
        self._is_withdrawn = False

    async def run(self) -> None:
        """Registers and renews the lease until withdrawn."""
        while not self._is_withdrawn:
            try:
                if not self._has_lease():
                    lease = await self._store.grant_lease(LEASE_TTL_S)
                    era = self._store.era
                    await self._store.put(
                        store_keys.VMS + self._own.id,
                        wire_updates.encode_vm(self._own),
                        None,
                        lease,
                    )
                    self._lease, self._lease_era = lease, era
                else:
                    await self._store.renew_lease(self._lease)
                await asyncio.sleep(RENEW_INTERVAL_S * random.uniform(0.9, 1.1))
            except errors.StoreConflictError:
                # The lease expired while the store could not be reached.
                self._lease = None
            except errors.StoreError as exc:
                logging.info("registration failed: %s", exc)
                await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.8, 1.5))

    async def withdraw(self) -> None:
        """Revokes the lease so that callers are no longer sent to this VM."""
        self._is_withdrawn = True
        if not self._has_lease():
            return
        try:
            await self._store.revoke_lease(self._lease)
        except errors.StoreError as exc:
            logging.info("lease not revoked, left to expire: %s", exc)

    def _has_lease(self) -> bool:
        return self._lease is not None and self._lease_era == self._store.era

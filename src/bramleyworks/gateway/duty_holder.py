"""Holds a duty that one VM at a time performs."""

import asyncio
import contextlib
import math
from collections.abc import Callable
from collections.abc import Mapping

from absl import logging

from bramleyworks import errors
from bramleyworks.gateway import event_log
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_position
from bramleyworks.platform import kv_store
from bramleyworks.platform import wire_duty
from bramleyworks.policy import duty as duty_policy

POLL_INTERVAL_S = 0.2
# Renewals in the time of a lease; two of them may fail.
RENEWALS_PER_LEASE = 3.0
# Part of a lease after which a holder that could not renew it stops, before the
# store ends it.
USABLE_FRACTION = 0.95
# Time without contact to half of the VMs after which a VM gives up the duty.
# The registrations of VMs that were lost together end before.
DISCONNECTED_S = 5.0
# Time until a VM that gave up the duty for a reason of its own tries again.
RESIGNED_S = 10.0
# Leases between two reads of the key while the replica is behind: each read
# doubles the time up to this, since calls to the store cost money.
MAX_READ_LEASES = 4.0


class DutyHolder:
    """Keeps a key with a lease while this VM performs a duty.

    The lease is counted from the time before the call that granted or renewed
    it, so it ends here before it ends in the store. Its fencing token is valid
    in one era of the store only, since a restored store has lost the key.

    Attributes:
        duty: Name of the duty.
        acquired_s: Monotonic time at which this VM became the holder, infinity
            if it is not.
        continued_era: Era of the store at whose start this VM was the holder,
            so that no other VM had acted last; 0 for none.
    """

    def __init__(
        self,
        duty: str,
        own: vm_module.Vm,
        store: kv_store.KvStore,
        replica: store_replica_module.StoreReplica,
        lease_s: float,
        links_mbps: Callable[[], Mapping[str, float]],
        is_connected: Callable[[], bool],
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Initializes the holder without calling the store.

        Args:
            duty: Name of the duty.
            own: This VM.
            store: Client of the store.
            replica: What this VM knows of the store.
            lease_s: Time to live of the lease in seconds.
            links_mbps: Returns the bandwidth of the links of all VMs by id.
            is_connected: Returns whether heartbeats of half of the VMs arrive.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self.duty = duty
        self._own = own
        self._store = store
        self._replica = replica
        self._lease_s = lease_s
        self._links_mbps = links_mbps
        self._is_connected = is_connected
        self._log = log
        self._clock = clock
        self._started_s = clock()
        self._key = wire_duty.holder_key(duty)
        self._candidacy = duty_policy.Candidacy(own.id, lease_s)
        self._lease = 0
        self._era = 0
        self._revision = 0
        self._token: int | None = None
        self._expires_s = -math.inf
        self._renewed_s = -math.inf
        self._connected_s = clock()
        self._is_stopping = False
        # Holder that was decoded last, since the key rarely changes.
        self._decoded: tuple[kv_item.KvItem | None, wire_duty.Holder | None] = (
            None,
            None,
        )
        self._newest_token = 0
        # The key as it was read after a failed condition, and its position. It
        # counts until the replica has that position.
        self._read: tuple[kv_position.Position, kv_item.KvItem | None] | None
        self._read = None
        self._read_delay_s = lease_s
        self._next_read_s = -math.inf
        self.acquired_s = math.inf
        self.continued_era = 0

    @property
    def token(self) -> int | None:
        """The fencing token while this VM may act, else None."""
        if (
            self._token is None
            or self._clock() >= self._expires_s
            or self._store.era != self._era
        ):
            return None
        return self._token

    @property
    def newest_token(self) -> int:
        """Highest fencing token of any holder that this VM knows of."""
        return self._newest_token

    @property
    def condition(self) -> dict[str, int]:
        """Condition of writes that only the holder may make."""
        return {self._key: self._revision}

    def visible(self) -> tuple[wire_duty.Holder, int] | None:
        """Returns the known holder and its token, None without one."""
        item = self._item()
        if item is None:
            return None
        known, holder = self._decoded
        if known is not item:
            holder = None
            decoded = wire_duty.decode_holder(item.value)
            if decoded.is_err():
                logging.warning("%s: %s", self._key, decoded.unwrap_err())
            else:
                holder = decoded.unwrap()
            self._decoded = item, holder
        token = duty_policy.fencing_token(item.era, item.revision)
        self._newest_token = max(self._newest_token, token)
        return (holder, token) if holder is not None else None

    async def run(self) -> None:
        """Acquires the duty when it is free, and keeps it, until cancelled."""
        while True:
            await self._step()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def resign(self, reason: str, pause_s: float = RESIGNED_S) -> None:
        """Gives up the duty.

        Args:
            reason: Why, for the log.
            pause_s: Seconds for which this VM does not try again.
        """
        lease, era = self._lease, self._era
        self._drop(reason, pause_s)
        await self._revoke(lease, era)

    async def stop(self) -> None:
        """Gives up the duty for the rest of the process."""
        self._is_stopping = True
        if self._token is not None:
            await self.resign("stop")

    async def _step(self) -> None:
        now_s = self._clock()
        if self._is_connected():
            self._connected_s = now_s
        is_cut_off = now_s - self._connected_s > DISCONNECTED_S
        if self._token is not None:
            self.visible()
            if self._store.era != self._era:
                self.continued_era = self._store.era
                self._drop("the store was restored", 0.0)
            elif self.token is None:
                self._drop("the lease was not renewed", self._lease_s)
            elif self._is_stopping:
                # The call that acquired it ended after the stop began.
                await self.resign("stop")
            elif is_cut_off:
                await self.resign("other VMs do not respond")
            elif now_s >= self._renewed_s + self._lease_s / RENEWALS_PER_LEASE:
                await self._renew()
            return
        if not (self._is_stopping or is_cut_off):
            await self._read_again()
            now_s = self._clock()
        visible = self.visible()
        self._candidacy.observe(visible[0].vm if visible else None, now_s)
        if self._is_stopping or is_cut_off or self._has_key():
            return
        delay_s = self._candidacy.delay_s(
            self.duty,
            {self._own.id: self._own.link_mbps, **self._links_mbps()},
            now_s - self._started_s,
        )
        if self._candidacy.is_due(now_s, delay_s):
            await self._acquire()

    def _has_key(self) -> bool:
        """Returns whether the store has a key, also a malformed one."""
        return self._item() is not None

    def _item(self) -> kv_item.KvItem | None:
        """Returns the newest known state of the key, None without a lease."""
        if self._is_behind():
            return self._read[1]
        item = self._replica.get(self._key)
        # A restored store has lost the lease as well.
        return item if item is not None and item.lost is None else None

    def _is_behind(self) -> bool:
        """Returns whether the replica is older than what was read."""
        return self._read is not None and (
            self._replica.position < self._read[0]
        )

    async def _read_again(self) -> None:
        """Reads the key again while the replica does not show its end."""
        if not self._is_behind():
            self._read = None
            self._read_delay_s = self._lease_s
        elif self._read[1] is not None and self._clock() >= self._next_read_s:
            await self._read_key()

    async def _read_key(self) -> None:
        """Reads the key after the store has refused to write it."""
        self._next_read_s = self._clock() + self._read_delay_s
        self._read_delay_s = min(
            2 * self._read_delay_s, MAX_READ_LEASES * self._lease_s
        )
        try:
            position, items = await self._store.list_items(self._key)
        except errors.StoreError as exc:
            logging.info("duty %s not read: %s", self.duty, exc)
            self._candidacy.block(self._next_read_s)
            return
        found = [item for item in items if item.key == self._key]
        self._read = position, found[0] if found else None

    async def _acquire(self) -> None:
        started_s = self._clock()
        lease, era = 0, self._store.era
        try:
            lease = await self._store.grant_lease(self._lease_s)
            era = self._store.era
            revision = await self._store.put(
                self._key,
                wire_duty.encode_holder(
                    wire_duty.Holder(
                        self._own.id, self._own.incarnation, self._own.control
                    )
                ),
                0,
                lease,
            )
        except errors.StoreError as exc:
            logging.info("duty %s not acquired: %s", self.duty, exc)
            self._candidacy.block(self._clock() + self._lease_s / 3)
            # If the write took effect without a response, this removes the key.
            await self._revoke(lease, era)
            if isinstance(exc, errors.StoreConflictError):
                # The replica is behind.
                await self._read_key()
            return
        token = duty_policy.fencing_token(era, revision)
        if self._store.era != era or token <= self._newest_token:
            self._log.write(
                "duty.refused",
                duty=self.duty,
                token=token,
                reason="the token is not above the last one",
                newest=self._newest_token,
            )
            self._candidacy.block(self._clock() + self._lease_s)
            await self._revoke(lease, era)
            return
        self._lease, self._era, self._revision = lease, era, revision
        self._token = self._newest_token = token
        self._renewed_s = started_s
        self._expires_s = started_s + USABLE_FRACTION * self._lease_s
        self.acquired_s = self._clock()
        self._candidacy.observe(self._own.id, self.acquired_s)
        self._log.write(
            "duty.acquired",
            duty=self.duty,
            token=token,
            ms=round(1000 * (self.acquired_s - started_s)),
        )

    async def _renew(self) -> None:
        started_s = self._clock()
        try:
            await self._store.renew_lease(self._lease)
        except errors.StoreConflictError:
            self._drop("the lease has ended", self._lease_s)
        except errors.StoreError as exc:
            logging.info("duty %s not renewed: %s", self.duty, exc)
        else:
            if self._token is not None and self._store.era == self._era:
                self._renewed_s = started_s
                self._expires_s = started_s + USABLE_FRACTION * self._lease_s

    async def _revoke(self, lease: int, era: int) -> None:
        """Ends a lease unless a restored store may have granted its id anew."""
        if lease and era == self._store.era:
            with contextlib.suppress(errors.StoreError):
                await self._store.revoke_lease(lease)

    def _drop(self, reason: str, pause_s: float) -> None:
        """Stops to act as the holder."""
        now_s = self._clock()
        self._candidacy.block(now_s + pause_s)
        token, self._token, self._lease = self._token, None, 0
        if token is not None:
            self._log.write(
                "duty.lost",
                duty=self.duty,
                token=token,
                reason=reason,
                held_s=round(now_s - self.acquired_s, 3),
            )
        self.acquired_s = math.inf

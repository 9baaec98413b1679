"""Keeps this VM's store replica up to date."""

import asyncio
import math
import random
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import aiohttp
from absl import logging

from bramleyworks import errors
from bramleyworks.adapters import http_session
from bramleyworks.gateway import event_log
from bramleyworks.gateway import peers as peers_module
from bramleyworks.gateway import replica_update
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_store
from bramleyworks.platform import store_keys

# Longest wait of one watch. A connection that stalls is detected at the end of
# it, well within the time in which a configuration has to be in force.
WATCH_TIMEOUT_S = 1.8
# Delay between the end of a watch and the next one. Upstreams change one at a
# time; the delay lets one call return several changes.
BATCH_DELAY_S = 0.25
# Initial backoff after a failed call; it doubles up to the maximum.
BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Upstreams whose registrations expired while the store was unavailable may
# register again within this time after its recovery.
REGISTER_GRACE_S = 2.0
# Time without a response after which the store counts as unavailable.
UNAVAILABLE_AFTER_S = 1.0
# Interval at which followers compare revisions with their peers; relays send a
# heartbeat early when theirs changes.
FOLLOW_INTERVAL_S = 0.05
# Age of a relay's last response from the store up to which the second relay,
# and all other VMs, follow it. They leave time for one failed call before the
# 2.5 s within which all VMs have to know that an upstream drains.
RELAY_MAX_AGE_S = 1.2
FOLLOWER_MAX_AGE_S = 1.6
# Longest wait of a relay's watch; each response resets the age above.
RELAY_WATCH_TIMEOUT_S = 0.5
# Age that is sent in heartbeats if the store has never responded.
MAX_AGE_S = 3600.0
# Timeout of copying from a peer.
PEER_TIMEOUT_S = 1.0


class StoreSync:
    """Watches the store, or copies from peers.

    A VM copies from peers while the store is unavailable to it, and in a large
    fleet while a relay of its region watches the store.

    Attributes:
        has_data: Whether the replica has been filled.
        is_store_unavailable: Whether the store does not respond to this VM.
    """

    def __init__(
        self,
        own_id: str,
        store: kv_store.KvStore,
        replica: store_replica_module.StoreReplica,
        peers: peers_module.Peers,
        seeds: Callable[[], list[str]],
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Initializes the sync.

        Args:
            own_id: Name of this VM.
            store: Client of the store.
            replica: Replica to update.
            peers: Heartbeats of peers.
            seeds: Returns control addresses to try when no peer is known.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self._own_id = own_id
        self._store = store
        self._replica = replica
        self._peers = peers
        self._seeds = seeds
        self._log = log
        self._clock = clock
        self._last_response_s = -math.inf
        self._recovered_s = -math.inf
        self._deferred_removals: dict[str, kv_item.KvItem] = {}
        self.has_data = False
        self.is_store_unavailable = True

    async def run(self) -> None:
        """Updates the replica until cancelled."""
        async with http_session.create(PEER_TIMEOUT_S) as session:
            await self._update(session)

    async def _update(self, session: aiohttp.ClientSession) -> None:
        """Updates the replica, from peers over a session.

        A follower copies several times a second, and a connection costs more
        than a copy.
        """
        backoff_s = BACKOFF_S
        listed = False
        was_following = False
        while True:
            try:
                if not listed:
                    revision, items = await self._store.list_items("")
                    self._record_success()
                    self._replica.replace(
                        revision, self._keep_missing_upstreams(items)
                    )
                    self.has_data = listed = True
                elif self._follows_relay():
                    was_following = True
                    await asyncio.sleep(FOLLOW_INTERVAL_S)
                    await self._copy_from_peer(session)
                    continue
                else:
                    if not was_following:
                        await asyncio.sleep(BATCH_DELAY_S)
                    # A VM that takes over from a relay is late already.
                    was_following = False
                    revision, changes = await self._store.watch(
                        "",
                        self._replica.revision,
                        WATCH_TIMEOUT_S
                        if self._peers.is_full_mesh
                        else RELAY_WATCH_TIMEOUT_S,
                    )
                    self._record_success()
                    self._replica.apply(revision, self._defer_removals(changes))
                self._apply_deferred_removals()
                backoff_s = BACKOFF_S
            except errors.StoreHistoryError:
                listed = False
                self._log.write("store.history_lost")
            except errors.StoreError as exc:
                self._record_failure(exc)
                await self._copy_from_peer(session)
                await asyncio.sleep(backoff_s * random.uniform(0.8, 1.2))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    @property
    def age_s(self) -> float:
        """Seconds since the store last responded to this VM."""
        return min(MAX_AGE_S, self._clock() - self._last_response_s)

    def _follows_relay(self) -> bool:
        """Returns whether this VM copies from a relay and need not watch."""
        if self._peers.is_full_mesh:
            return False
        relays = self._peers.relays()
        ages = {name: self._peers.store_age_s(name) for name in relays}
        return follows_relay(self._own_id, relays, ages)

    def _record_success(self) -> None:
        now_s = self._clock()
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            if self.has_data:
                self._recovered_s = now_s
            self._log.write("store.regained", revision=self._replica.revision)
        self._last_response_s = now_s

    def _record_failure(self, exc: errors.StoreError) -> None:
        if (
            not self.is_store_unavailable
            and self._clock() - self._last_response_s >= UNAVAILABLE_AFTER_S
        ):
            self.is_store_unavailable = True
            self._log.write(
                "store.lost",
                step=exc.step,
                peer=exc.peer,
                reason=exc.reason,
                revision=self._replica.revision,
            )

    def _defer_removals(
        self, changes: list[kv_item.KvItem]
    ) -> list[kv_item.KvItem]:
        """Defers removals that an outage of the store may have caused."""
        if self._clock() - self._recovered_s > REGISTER_GRACE_S:
            return changes
        kept = []
        for item in changes:
            is_expiry = item.value is None and item.key.startswith(
                store_keys.UPSTREAMS
            )
            if is_expiry:
                self._deferred_removals[item.key] = item
            else:
                self._deferred_removals.pop(item.key, None)
                kept.append(item)
        return kept

    def _keep_missing_upstreams(
        self, items: list[kv_item.KvItem]
    ) -> list[kv_item.KvItem]:
        """Adds upstreams that a snapshot lacks but that may register again."""
        if not self._replica.revision:
            return items
        if self._clock() - self._recovered_s > REGISTER_GRACE_S:
            return items
        listed = {item.key for item in items}
        missing = [
            item
            for item in self._replica.items()
            if item.key not in listed
            and item.key.startswith(store_keys.UPSTREAMS)
        ]
        for item in missing:
            self._deferred_removals[item.key] = kv_item.KvItem(
                item.key, None, item.revision + 1
            )
        return items + missing

    def _apply_deferred_removals(self) -> None:
        """Applies the deferred removals at the end of the grace period."""
        if (
            self._deferred_removals
            and self._clock() - self._recovered_s > REGISTER_GRACE_S
        ):
            removals, self._deferred_removals = self._deferred_removals, {}
            self._replica.apply(self._replica.revision, removals.values())

    async def _copy_from_peer(self, session: aiohttp.ClientSession) -> None:
        """Copies from a peer with a newer revision, if there is one."""
        if (
            self.has_data
            and self._peers.newest_revision <= self._replica.revision
        ):
            return
        ahead = sources(
            {
                heartbeat.vm.control: heartbeat.revision
                for heartbeat in self._peers.direct_heartbeats()
            },
            self._replica.revision,
            self.has_data,
        )
        if not ahead and not self.has_data:
            ahead = self._seeds()
        if not ahead:
            return
        address = random.choice(ahead)
        url = f"http://{address}/v1/copy?after={self._replica.revision}"
        try:
            async with session.get(url) as response:
                if response.status != 200:
                    return
                raw = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            logging.info("copy from %s failed: %r", address, exc)
            return
        applied = replica_update.apply_update(raw, address, self._replica)
        if applied.is_err():
            logging.warning("%s", applied.unwrap_err())
            return
        changes = applied.unwrap()
        if changes is None:
            return
        self.has_data = True
        self._log.write(
            "store.copied",
            peer=address,
            revision=self._replica.revision,
            changes=changes,
        )


def sources(
    revisions: Mapping[str, int], own_revision: int, has_data: bool
) -> list[str]:
    """Returns the control addresses of peers to copy from.

    A VM that has just started takes the newest state only: an older one may
    list upstreams that have left and keys that were withdrawn.

    Args:
        revisions: Store revision of each peer by control address.
        own_revision: Revision of this VM's replica.
        has_data: Whether the replica has been filled.
    """
    if not has_data:
        own_revision = max([own_revision, *(r - 1 for r in revisions.values())])
    return [
        address
        for address, revision in revisions.items()
        if revision > own_revision
    ]


def follows_relay(
    own_id: str, relays: Sequence[str], ages: Mapping[str, float]
) -> bool:
    """Returns whether a VM copies from a relay and need not watch the store.

    Only the first relay of a region watches the store. The second one, and
    then all other VMs, watch it too when no relay before them has a recent
    response of the store.

    Args:
        own_id: Name of the VM.
        relays: Relays of its region in order of preference.
        ages: Seconds since the store last responded to each peer, by id.
    """
    limit_s = FOLLOWER_MAX_AGE_S
    before = list(relays)
    if own_id in before:
        limit_s = RELAY_MAX_AGE_S
        before = before[: before.index(own_id)]
    return any(ages.get(name, math.inf) < limit_s for name in before)

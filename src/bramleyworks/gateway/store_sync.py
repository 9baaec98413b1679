"""Keeps this VM's store replica up to date."""

import asyncio
import functools
import math
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

import aiohttp
from absl import logging

from bramleyworks import errors
from bramleyworks.adapters import http_session
from bramleyworks.gateway import event_log
from bramleyworks.gateway import peers as peers_module
from bramleyworks.gateway import removal_grace
from bramleyworks.gateway import replica_update
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_position
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
# Time after a restore of the store within which operators write again what it
# has lost. An order that they withdrew meanwhile leaves no trace in the store.
OPERATOR_GRACE_S = 10.0
# The same for an order that was withdrawn before, and that the store has again.
# Shorter than the 5 s in which an evacuation has to be in force, since it may
# be a new one.
WITHDRAWN_GRACE_S = 3.0
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
# Longest wait of a watch while graces of a restore may end.
SETTLE_WATCH_TIMEOUT_S = 0.5
# Age that is sent in heartbeats if the store has never responded.
MAX_AGE_S = 3600.0
# Shortest time between two whole copies for a lost configuration.
LOST_COPY_INTERVAL_S = 0.5
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
        removals: removal_grace.RemovalGrace,
        peers: peers_module.Peers,
        seeds: Callable[[], list[str]],
        config_version: Callable[[], int],
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Initializes the sync.

        Args:
            own_id: Name of this VM.
            store: Client of the store.
            replica: Replica to update.
            removals: Delays removals after an outage of the store.
            peers: Heartbeats of peers.
            seeds: Returns control addresses to try when no peer is known.
            config_version: Returns the version of the configuration in force.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self._own_id = own_id
        self._store = store
        self._replica = replica
        self._removals = removals
        self._peers = peers
        self._seeds = seeds
        self._config_version = config_version
        self._log = log
        self._clock = clock
        self._last_response_s = -math.inf
        self._next_lost_copy_s = -math.inf
        # When this VM learned of the present era of the store, and the graces
        # of that era that have not passed.
        self._era_since_s = -math.inf
        self._graces: list[tuple[float, Callable[[], None]]] = []
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
                if not listed or self._needs_list():
                    position, items = await self._store.list_items("")
                    self._record_success()
                    self._replace(position, items)
                    self.has_data = listed = True
                elif self._follows_relay():
                    was_following = True
                    self._record_available()
                    await asyncio.sleep(FOLLOW_INTERVAL_S)
                    await self._copy_from_peer(session)
                    self._settle()
                    await self._copy_lost_config(session)
                    continue
                else:
                    if not was_following:
                        await asyncio.sleep(BATCH_DELAY_S)
                    # A VM that takes over from a relay is late already.
                    was_following = False
                    position, changes = await self._store.watch(
                        "",
                        self._replica.position,
                        self._watch_timeout_s(),
                    )
                    self._record_success()
                    self._replica.apply(position, changes)
                self._settle()
                await self._copy_lost_config(session)
                backoff_s = BACKOFF_S
            except errors.StoreHistoryError as exc:
                listed = False
                self._log.write(
                    "store.history_lost",
                    reason=exc.reason,
                    revision=self._replica.position.revision,
                    era=self._replica.position.era,
                )
            except errors.StoreError as exc:
                self._record_failure(exc)
                await self._copy_from_peer(session)
                self._settle()
                await asyncio.sleep(backoff_s * random.uniform(0.8, 1.2))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    @property
    def age_s(self) -> float:
        """Seconds since the store last responded to this VM."""
        return min(MAX_AGE_S, self._clock() - self._last_response_s)

    def _watch_timeout_s(self) -> float:
        """Returns the seconds that a watch may wait."""
        if not self._peers.is_full_mesh:
            return RELAY_WATCH_TIMEOUT_S
        if self._graces or self._removals.is_delaying:
            return SETTLE_WATCH_TIMEOUT_S
        return WATCH_TIMEOUT_S

    def _needs_list(self) -> bool:
        """Returns whether the replica may lack changes that it has passed.

        Watching from its position would not return them.
        """
        return not self._replica.is_exact

    def _follows_relay(self) -> bool:
        """Returns whether this VM copies from a relay and need not watch."""
        if self._peers.is_full_mesh:
            return False
        relays = self._peers.relays()
        ages = {
            name: self._peers.store_age_s(name)
            for name in relays
            if self._peers.is_exact(name)
        }
        return follows_relay(self._own_id, relays, ages)

    def _record_success(self) -> None:
        self._record_available()
        self._last_response_s = self._clock()

    def _record_available(self) -> None:
        """Records that the store responds to this VM, or to its relay."""
        if not self.is_store_unavailable:
            return
        self.is_store_unavailable = False
        if self.has_data:
            self._removals.end_outage()
        self._log.write(
            "store.regained",
            revision=self._replica.position.revision,
            era=self._store.era,
        )

    def _record_failure(self, exc: errors.StoreError) -> None:
        if (
            not self.is_store_unavailable
            and self._clock() - self._last_response_s >= UNAVAILABLE_AFTER_S
        ):
            self.is_store_unavailable = True
            self._removals.start_outage()
            self._log.write(
                "store.lost",
                step=exc.step,
                peer=exc.peer,
                reason=exc.reason,
                revision=self._replica.position.revision,
                era=self._replica.position.era,
            )

    def _replace(
        self, position: kv_position.Position, items: list[kv_item.KvItem]
    ) -> None:
        """Replaces the replica by what the store has."""
        era = self._replica.position.era
        self._replica.replace(position, items)
        self._replica.is_exact = True
        self._note_era(era, "store")

    def _note_era(self, before: int, source: str) -> None:
        """Notes that the replica may have entered another era.

        Args:
            before: Era of the replica before.
            source: Where the replica's new content came from, for the log.
        """
        position = self._replica.position
        if position.era == before:
            return
        lost = self._replica.lost_count()
        if self.has_data:
            self._removals.end_outage()
        if self.has_data or lost:
            self._start_graces()
        self._log.write(
            "store.era",
            era=position.era,
            before=before,
            revision=position.revision,
            source=source,
            lost=lost,
        )

    def _start_graces(self) -> None:
        """Starts the times within which lost items are written again."""
        self._era_since_s = self._clock()
        lapsing = (store_keys.UPSTREAMS, store_keys.VMS)
        orders = (store_keys.EVACUATIONS, store_keys.MOVE_ORDERS)
        drop, accept = self._replica.drop_missing, self._replica.accept_revived
        self._graces = [
            (removal_grace.REGISTER_GRACE_S, functools.partial(drop, lapsing)),
            (
                removal_grace.REGISTER_GRACE_S,
                functools.partial(accept, lapsing),
            ),
            (WITHDRAWN_GRACE_S, functools.partial(accept, orders)),
            (
                OPERATOR_GRACE_S,
                functools.partial(drop, (*orders, store_keys.DUTIES)),
            ),
            (OPERATOR_GRACE_S, self._replica.end_replay),
        ]

    def _settle(self) -> None:
        """Ends the graces that have passed."""
        era_age_s = self._clock() - self._era_since_s
        while self._graces and era_age_s > self._graces[0][0]:
            _, end = self._graces.pop(0)
            end()
        self._removals.settle()

    async def _copy_from_peer(self, session: aiohttp.ClientSession) -> None:
        """Copies from a peer with a newer revision, if there is one."""
        if (
            self.has_data
            and self._peers.newest_position <= self._replica.position
        ):
            return
        heartbeats = self._peers.direct_heartbeats()
        ahead = sources(
            {b.vm.control: b.position for b in heartbeats},
            {b.vm.control for b in heartbeats if b.is_exact},
            self._replica.position,
            self.has_data,
        )
        if not ahead and not self.has_data:
            ahead = self._seeds()
        if not ahead:
            return
        await self._copy(session, random.choice(ahead), self._replica.position)

    async def _copy_lost_config(self, session: aiohttp.ClientSession) -> None:
        """Copies a configuration that a restored store has lost.

        A VM that has started or missed changes since gets an older one from
        the store than its peers have in force.
        """
        if self._clock() < self._next_lost_copy_s:
            return
        version = self._config_version()
        for heartbeat in self._peers.direct_heartbeats():
            # A peer that is ahead has a newer one that will arrive as usual.
            if (
                heartbeat.config > version
                and heartbeat.position <= self._replica.position
            ):
                self._next_lost_copy_s = self._clock() + LOST_COPY_INTERVAL_S
                await self._copy(
                    session, heartbeat.vm.control, kv_position.Position()
                )
                return

    async def _copy(
        self,
        session: aiohttp.ClientSession,
        address: str,
        after: kv_position.Position,
    ) -> None:
        """Copies from a peer the changes after a position."""
        before = self._replica.position
        url = f"http://{address}/v1/copy?after={after.revision}&era={after.era}"
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
        self._note_era(before.era, address)
        self.has_data = True
        self._log.write(
            "store.copied",
            peer=address,
            revision=self._replica.position.revision,
            changes=changes,
            exact=self._replica.is_exact,
        )


def sources(
    positions: Mapping[str, kv_position.Position],
    exact: Collection[str],
    own: kv_position.Position,
    has_data: bool,
) -> list[str]:
    """Returns the control addresses of peers to copy from.

    A VM that has just started takes the newest state only: an older one may
    list upstreams that have left and keys that were withdrawn. Other VMs prefer
    replicas that lack no change.

    Args:
        positions: Position of each peer's replica by control address.
        exact: Addresses of the peers whose replicas lack no change.
        own: Position of this VM's replica.
        has_data: Whether the replica has been filled.
    """
    ahead = {a: position for a, position in positions.items() if position > own}
    if has_data or not ahead:
        return [a for a in ahead if a in exact] or list(ahead)
    newest = max(ahead.values())
    return [a for a, position in ahead.items() if position == newest]


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

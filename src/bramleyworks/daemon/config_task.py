"""The task that distributes the configuration and checks its freshness."""

import asyncio
import hashlib
import random
import time
import zlib
from collections.abc import Callable

from absl import logging

from bramleyworks import errors
from bramleyworks.adapters import store
from bramleyworks.daemon import identity
from bramleyworks.daemon import peer_link
from bramleyworks.document import codec
from bramleyworks.document import delta
from bramleyworks.document import stored_config
from bramleyworks.messages import announce
from bramleyworks.messages import codec as message_codec
from bramleyworks.messages import config_delta
from bramleyworks.messages import config_whole
from bramleyworks.messages import pull_config
from bramleyworks.policy import fleet_view
from bramleyworks.policy import freshness
from bramleyworks.policy import member_table
from bramleyworks.policy import relay_tree

# A read confirms the version as of the time when its watch was sent, and
# heartbeats relay that at 1 Hz. A wait of 0.5 s keeps the age of relayed reads
# under ``freshness.MAX_FRESH_AGE_S``.
WATCH_TIMEOUT_S = 0.5
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0
PULL_RETRY_INTERVAL_S = 0.5
IDLE_POLL_INTERVAL_S = 0.5
MAX_KEPT_VERSIONS = 16
MAX_CONFIG_BYTES = 1024 * 1024


class ConfigTask:
    """Owns the configuration in force; its version never decreases.

    Attributes:
        current: The latest configuration, None before the first one.
        joined: Whether the configuration has been fresh since this process
            started.
        store_failed_s: Monotonic time since which reads of the store have
            failed, None while they succeed or the store is not used.
    """

    def __init__(
        self,
        me: identity.Identity,
        link: peer_link.PeerLink,
        kv: store.Store,
        members: member_table.MemberTable,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ):
        self._me = me
        self._link = link
        self._kv = kv
        self._members = members
        self._clock = clock
        self._rng = rng or random.Random()
        self._view = fleet_view.FleetView(me.vm_id, {})
        self._neighbours: frozenset[str] = frozenset()
        self._is_elected_watcher = True
        self._listeners: list[Callable[[stored_config.StoredConfig], None]] = []
        self._encoded_versions: dict[int, bytes] = {}
        # A relay sends the same response to each of its up to 16 children.
        self._responses: dict[int, message_codec.Message] = {}
        self._own_read_s = float("-inf")
        self._confirmed_s = float("-inf")
        self._last_pull_s: dict[str, float] = {}
        self._revision = 0
        self._is_entry_valid = True
        self.current: stored_config.StoredConfig | None = None
        self.joined = False
        self.store_failed_s: float | None = None
        link.register(announce.Announce, self._on_announce)
        link.register(pull_config.PullConfig, self._on_pull)
        link.register(config_delta.ConfigDelta, self._on_delta)
        link.register(config_whole.ConfigWhole, self._on_full)

    def subscribe(
        self, listener: Callable[[stored_config.StoredConfig], None]
    ) -> None:
        """Registers a function to call with each newer configuration."""
        self._listeners.append(listener)

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return self.current.version if self.current else 0

    def fresh_age_s(self) -> float:
        """Returns the age in seconds of the latest known store read."""
        known = [self._own_read_s]
        for item in self._members.members().values():
            known.append(item.as_of_s - max(0.0, item.heartbeat.fresh_age_s))
        return min(1e6, self._clock() - max(known))

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether routes that need a key may be served at a time.

        Args:
            now_s: Monotonic time in seconds.
        """
        return freshness.is_fresh(self._confirmed_s, now_s)

    def is_fresh_now(self) -> bool:
        """Returns whether routes that need a key may be served now."""
        return self.is_fresh(self._clock())

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Does nothing; this task is the source of configurations."""

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Updates the members to exchange configurations with."""
        self._view = view
        # Must use the same names as the heartbeats: a tree over only the
        # members received recently would have different edges.
        self._neighbours = relay_tree.neighbours(
            [*view.received_s, *view.live], self._me.vm_id
        )
        self._is_elected_watcher = self._me.vm_id in relay_tree.watchers(
            [*view.watcher_candidates(self._me.region), self._me.vm_id],
            self._me.region,
        )

    def on_heartbeat(self, sender: str, version: int) -> None:
        """Updates the freshness; pulls if the sender has a newer version."""
        self._update_freshness()
        if version > self.version:
            self._pull(sender)

    async def run(self) -> None:
        """Watches the store while this VM is one of its region's watchers."""
        failures = 0
        while True:
            if not self._is_watcher():
                self.store_failed_s = None
                await asyncio.sleep(IDLE_POLL_INTERVAL_S)
                continue
            try:
                await self._watch_once()
                failures = 0
                self.store_failed_s = None
            except errors.StoreError as exc:
                if self.store_failed_s is None:
                    self.store_failed_s = self._clock()
                    logging.warning("cannot read the configuration: %s", exc)
                failures += 1
                delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**failures)
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))

    def _is_watcher(self) -> bool:
        """Returns whether this VM watches the store now.

        A VM without live peers or without a configuration always does.
        """
        if self.current is None or not self._view.live:
            return True
        return self._is_elected_watcher

    async def _watch_once(self) -> None:
        sent_s = self._clock()
        entry = await self._kv.watch(
            stored_config.CONFIG_KEY, self._revision, WATCH_TIMEOUT_S
        )
        if entry is not None:
            decoded = codec.decode_stored(entry.value, "store")
            if decoded.is_err():
                logging.error("configuration ignored: %s", decoded.unwrap_err())
            else:
                self.apply_if_newer(decoded.unwrap(), entry.value)
            # A malformed value may be a newer configuration, so it does not
            # confirm the current one.
            self._is_entry_valid = decoded.is_ok()
            self._revision = entry.revision
        if self.current is not None and self._revision and self._is_entry_valid:
            self._own_read_s = max(self._own_read_s, sent_s)
            self._update_freshness()

    def apply_if_newer(
        self, stored: stored_config.StoredConfig, data: bytes
    ) -> bool:
        """Puts a configuration in force and announces it if it is newer.

        Args:
            stored: The configuration.
            data: Its encoding.

        Returns:
            Whether it was newer than the version in force.
        """
        if stored.version <= self.version:
            return False
        self.current = stored
        self._responses.clear()
        self._encoded_versions[stored.version] = data
        while len(self._encoded_versions) > MAX_KEPT_VERSIONS:
            del self._encoded_versions[min(self._encoded_versions)]
        logging.info("configuration version %d is in force", stored.version)
        for listener in self._listeners:
            listener(stored)
        for name in self._neighbours:
            self._link.send(name, announce.Announce(stored.version))
        self._update_freshness()
        return True

    def _update_freshness(self) -> None:
        now_s = self._clock()
        self._confirmed_s = freshness.confirmed_s(
            self.version,
            self._own_read_s,
            self._members.members(),
            self._view.listed,
            self._me.vm_id,
            self.joined,
            now_s,
        )
        if not self.joined and self.is_fresh(now_s):
            self.joined = True

    def _pull(self, name: str) -> None:
        now_s = self._clock()
        if (
            now_s - self._last_pull_s.get(name, float("-inf"))
            < PULL_RETRY_INTERVAL_S
        ):
            return
        self._last_pull_s[name] = now_s
        self._link.send(name, pull_config.PullConfig(self.version))

    def _on_announce(self, sender: str, msg: announce.Announce) -> None:
        if msg.version > self.version:
            self._last_pull_s.pop(sender, None)
            self._pull(sender)

    def _on_pull(self, sender: str, msg: pull_config.PullConfig) -> None:
        if self.current is None or msg.have_version >= self.version:
            return
        # Without the requested base version, the full configuration is sent.
        base = (
            msg.have_version
            if msg.have_version in self._encoded_versions
            else 0
        )
        response = self._responses.get(base)
        if response is None:
            response = self._responses[base] = self._make_response(base)
        self._link.send(sender, response)

    def _make_response(self, base: int) -> message_codec.Message:
        """Returns the configuration for a peer, in full if the base is 0."""
        if not base:
            data = zlib.compress(self._encoded_versions[self.version])
            return config_whole.ConfigWhole(self.version, data)
        old = codec.decode_stored(self._encoded_versions[base], "self").unwrap()
        return config_delta.ConfigDelta(
            base_version=base,
            version=self.version,
            digest=hashlib.sha256(
                codec.encode_stored(self.current)
            ).hexdigest(),
            ops=delta.make(old, self.current),
        )

    def _on_delta(self, sender: str, msg: config_delta.ConfigDelta) -> None:
        if self.current is None or msg.base_version != self.version:
            return
        applied = delta.apply(self.current, msg.ops)
        if applied.is_ok():
            stored = applied.unwrap()
            data = codec.encode_stored(stored)
            if hashlib.sha256(data).hexdigest() == msg.digest:
                self.apply_if_newer(stored, data)
                return
        logging.warning(
            "delta from %s to version %d does not apply; requesting the full"
            " configuration",
            sender,
            msg.version,
        )
        self._link.send(sender, pull_config.PullConfig(0))

    def _on_full(self, sender: str, msg: config_whole.ConfigWhole) -> None:
        inflate = zlib.decompressobj()
        try:
            data = inflate.decompress(msg.data, MAX_CONFIG_BYTES)
        except zlib.error as exc:
            logging.warning(
                "configuration from %s is malformed: %s", sender, exc
            )
            return
        decoded = codec.decode_stored(data, sender)
        if decoded.is_err():
            logging.warning("configuration ignored: %s", decoded.unwrap_err())
            return
        self.apply_if_newer(decoded.unwrap(), data)

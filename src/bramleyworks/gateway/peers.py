"""Heartbeats between entry VMs over UDP.

A datagram carries the sender's state, so a lost one only makes the received
state older, and a peer that does not respond blocks nobody. In a small fleet
(full mesh) every VM sends to every other. In a large one VMs send to those of
their region, and two of them are the relays of the region: they send a summary
of it to the relays of all other regions, which forward it to their VMs. The
cost per VM then grows with the size of its region and with the number of
regions, and little traffic crosses regions.
"""

import asyncio
import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec
from absl import logging

from bramleyworks.gateway import heartbeat as heartbeat_module
from bramleyworks.gateway import region_summary
from bramleyworks.gateway import registry as registry_module
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import kv_position
from bramleyworks.policy import isolation
from bramleyworks.policy import quarantine as quarantine_module
from bramleyworks.policy import rendezvous

# Bounds the age of what VMs know about each other's requests.
HEARTBEAT_INTERVAL_S = 0.25
# Largest fleet in which every VM sends to every other.
MAX_FULL_MESH_VMS = 16
# With more peers, the interval grows with their number so that the cost per VM
# stays constant.
MAX_PEERS_AT_FULL_RATE = 16
# Intervals without a heartbeat after which a peer is no longer live.
MAX_MISSED_HEARTBEATS = 6
# The second relay takes over when the first one fails.
RELAYS_PER_REGION = 2
# Intervals without a summary after which another relay becomes active.
MAX_MISSED_SUMMARIES = 1.5
# Summaries cross regions, where bandwidth is expensive, and bound the age of
# what regions know about each other's requests.
SUMMARY_INTERVAL_S = 0.5
# Heartbeats, or summaries, from one full one to the next. The content of a
# lost full one is received after this many at the latest.
FULL_HEARTBEAT_EVERY = 6
FULL_SUMMARY_EVERY = 4
# Well below the interval of heartbeats, whose loss changes what is derived.
DERIVED_MAX_AGE_S = 0.2
# Shortest time between heartbeats that are sent early because of a change.
MIN_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The latest heartbeat of a peer.

    Attributes:
        heartbeat: The full heartbeat.
        received_s: Monotonic time of its arrival in seconds.
    """

    heartbeat: heartbeat_module.Heartbeat
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Derived:
    """Facts about the fleet, derived from the heartbeats at one time.

    Attributes:
        sizes: Numbers of received heartbeats and of registered VMs.
        at_s: Monotonic time in seconds.
        is_full_mesh: Whether every VM sends to every other.
        peers: VMs that this one exchanges heartbeats with.
        relays: Ids of the own region's relays in order of preference.
    """

    sizes: tuple[int, ...]
    at_s: float
    is_full_mesh: bool
    peers: int
    relays: tuple[str, ...]


class Peers(asyncio.DatagramProtocol):
    """Sends this VM's heartbeats and keeps the latest one of each peer."""

    def __init__(
        self,
        own: vm_module.Vm,
        build_heartbeat: Callable[[int, bool], heartbeat_module.Heartbeat],
        registered: Callable[[], Mapping[str, vm_module.Vm]],
        upstreams: registry_module.Registry,
        quarantine: quarantine_module.Quarantine,
        seeds: list[str],
        clock: Callable[[], float],
    ):
        """Initializes the protocol without opening its socket.

        Args:
            own: This VM.
            build_heartbeat: Returns the heartbeat with a given sequence;
                the second argument is whether it is sent as a full one.
            registered: Returns the registered VMs by id.
            upstreams: Upstreams, whose load reports VMs exchange.
            quarantine: Requests that ended upstreams, which VMs exchange.
            seeds: Peer addresses to send to before any VM is known.
            clock: Monotonic time in seconds.
        """
        self._own = own
        self._build_heartbeat = build_heartbeat
        self._registered = registered
        self._upstreams = upstreams
        self._quarantine = quarantine
        self._seeds = seeds
        self._clock = clock
        self._received: dict[str, ReceivedHeartbeat] = {}
        # Latest summary by relay of another region, and the active relay by
        # region.
        self._summaries: dict[str, ReceivedHeartbeat] = {}
        self._active_relays: dict[str, str] = {}
        self._summary_builder = region_summary.SummaryBuilder()
        self._heartbeat_encoder = heartbeat_module.DeltaEncoder(
            FULL_HEARTBEAT_EVERY
        )
        self._summary_encoder = heartbeat_module.DeltaEncoder(
            FULL_SUMMARY_EVERY
        )
        # Addresses that the last heartbeat was sent to.
        self._sent_to: set[str] = set()
        self._newest = kv_position.Position()
        # Facts about the fleet, derived again when it changed or after a while.
        self._derived = _Derived((), -math.inf, True, 0, ())
        self._sequence = 0
        self._last_sent_s = 0.0
        self._last_summary_s = -math.inf
        self._is_send_requested = False
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def is_full_mesh(self) -> bool:
        """Whether every VM sends to every other."""
        return self._derive().is_full_mesh

    @property
    def interval_s(self) -> float:
        """Seconds between two heartbeats."""
        return HEARTBEAT_INTERVAL_S * max(
            1.0, self._derive().peers / MAX_PEERS_AT_FULL_RATE
        )

    @property
    def newest_position(self) -> kv_position.Position:
        """Newest position in the store that any heartbeat has reported."""
        return self._newest

    def _derive(self) -> "_Derived":
        """Returns facts about the fleet that are too costly for each use."""
        registered = self._registered()
        sizes = (len(self._received), len(registered))
        now_s = self._clock()
        known = self._derived
        if known.sizes == sizes and now_s - known.at_s < DERIVED_MAX_AGE_S:
            return known
        ids = {self._own.id, *self._received, *registered}
        is_full_mesh = len(ids) <= MAX_FULL_MESH_VMS
        in_region = [
            h.heartbeat
            for h in self._received.values()
            if self._is_same_region(h.heartbeat)
        ]
        peers = len(self._received) if is_full_mesh else len(in_region)
        interval_s = HEARTBEAT_INTERVAL_S * max(
            1.0, peers / MAX_PEERS_AT_FULL_RATE
        )
        oldest_s = now_s - MAX_MISSED_HEARTBEATS * interval_s
        live = [
            h.vm
            for h in in_region
            if self._received[h.vm.id].received_s >= oldest_s
        ]
        self._derived = _Derived(
            sizes,
            now_s,
            is_full_mesh,
            peers,
            tuple(choose_relays(self._own.region, [*live, self._own])),
        )
        return self._derived

    @property
    def propagation_s(self) -> float:
        """Seconds until all VMs have received a change of this VM."""
        if self.is_full_mesh:
            return self.interval_s
        return self.interval_s + SUMMARY_INTERVAL_S

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Handles a heartbeat if it is newer than the last one of its VM."""
        try:
            heartbeat = msgspec.msgpack.decode(
                data, type=heartbeat_module.Heartbeat
            )
            heartbeat.check()
        except (msgspec.DecodeError, RecursionError, ValueError) as exc:
            logging.warning("malformed heartbeat from %s: %s", addr[0], exc)
            return
        if heartbeat.vm.id == self._own.id:
            return
        if heartbeat.covered_vms and self._is_same_region(heartbeat):
            return
        table = self._summaries if heartbeat.covered_vms else self._received
        known = table.get(heartbeat.vm.id)
        if known is not None and _recency(heartbeat) <= _recency(
            known.heartbeat
        ):
            return
        full = heartbeat_module.apply_delta(
            heartbeat, known.heartbeat if known else None
        )
        if full is None:
            # A full one follows soon.
            return
        if (
            known is None
            or known.heartbeat.vm.incarnation != heartbeat.vm.incarnation
        ):
            # It has just started and needs a full heartbeat of this VM.
            self._heartbeat_encoder.reset()
        table[heartbeat.vm.id] = ReceivedHeartbeat(full, self._clock())
        self._newest = max(self._newest, full.position)
        self._upstreams.record_peer_loads(
            heartbeat.loads, heartbeat.work_percents
        )
        self._upstreams.rate_limits.record_reports(heartbeat.limits)
        self._quarantine.merge(heartbeat.quarantine)
        if heartbeat.covered_vms:
            self._select_relay(full)
            self._forward(heartbeat, data)
        elif known is None:
            logging.info("first heartbeat from peer %s", heartbeat.vm.id)

    def _select_relay(self, summary: heartbeat_module.Heartbeat) -> None:
        """Makes the sender of a summary the active relay if it should be."""
        region = summary.vm.region
        name = self._active_relays.get(region)
        if name is not None and name != summary.vm.id:
            known = self._summaries[name]
            age_s = self._clock() - known.received_s
            # A relay sends its summary with the first heartbeat that is due
            # after the interval of summaries.
            is_stale = age_s > MAX_MISSED_SUMMARIES * (
                SUMMARY_INTERVAL_S + self.interval_s
            )
            # The summary of a relay that has just started may cover itself
            # only.
            if (
                not is_stale
                and summary.covered_vms <= known.heartbeat.covered_vms
            ):
                return
        self._active_relays[region] = summary.vm.id

    def _forward(
        self, summary: heartbeat_module.Heartbeat, data: bytes
    ) -> None:
        """Forwards the summary of an active relay to the own region."""
        if self._active_relays[summary.vm.region] != summary.vm.id:
            return
        if self._own.id in self.relays():
            self._send_datagrams(
                {heartbeat.vm.peer for heartbeat in self.direct_heartbeats()},
                data,
            )

    def error_received(self, exc: Exception) -> None:
        """Logs a socket error; a peer is lost only when its heartbeats stop."""
        logging.debug("heartbeat socket: %s", exc)

    def direct_heartbeats(self) -> list[heartbeat_module.Heartbeat]:
        """Returns the heartbeats received from live peers directly.

        In a full mesh these are all peers, otherwise those of the own region.
        """
        return [received.heartbeat for received in self._live_direct()]

    def live_heartbeats(self) -> list[heartbeat_module.Heartbeat]:
        """Returns heartbeats and summaries that cover each live peer once."""
        return [received.heartbeat for received in self._live()]

    def _live(self) -> list[ReceivedHeartbeat]:
        """Returns what ``live_heartbeats`` does, with times of arrival."""
        if self.is_full_mesh:
            return self._live_direct()
        summaries = [self._summaries[n] for n in self._active_relays.values()]
        return self._live_direct() + self._fresh(summaries)

    def _live_direct(self) -> list[ReceivedHeartbeat]:
        live = self._fresh(self._received.values())
        if self.is_full_mesh:
            return live
        return [r for r in live if self._is_same_region(r.heartbeat)]

    def live_vm_count(self) -> int:
        """Returns the number of live VMs, including this one."""
        return 1 + sum(
            max(1, heartbeat.covered_vms)
            for heartbeat in self.live_heartbeats()
        )

    def entry_addresses(self) -> dict[str, tuple[str, str]]:
        """Returns region and entry address by id of peers that are ready."""
        found = {}
        for heartbeat in self.live_heartbeats():
            if heartbeat.covered_vms:
                for name, entry in heartbeat.members.items():
                    found[name] = (heartbeat.vm.region, entry)
            elif heartbeat.is_ready:
                found[heartbeat.vm.id] = (
                    heartbeat.vm.region,
                    heartbeat.vm.entry,
                )
        return found

    def proxy_peers(self, service: str, config: int) -> list[isolation.Peer]:
        """Returns the ready peers with their reach for a service.

        Args:
            service: Name of the service.
            config: Version of the configuration that they need at least.
        """
        addresses = {vm.id: vm.peer for vm in self._registered().values()}
        found = []
        for received in self._live():
            heartbeat = received.heartbeat
            if heartbeat.config < config:
                continue
            age_s = self._contact_age_s(received, service)
            cut_off = set(heartbeat.cut_off)
            if heartbeat.covered_vms:
                names = {
                    name: addresses[name]
                    for name in heartbeat.members
                    if name in addresses
                }
            elif heartbeat.is_ready:
                names = {heartbeat.vm.id: heartbeat.vm.peer}
            else:
                continue
            found.extend(
                isolation.Peer(
                    name,
                    heartbeat.vm.region,
                    address,
                    isolation.reach_of(age_s, name in cut_off),
                )
                for name, address in names.items()
            )
        return found

    def reach(self) -> dict[str, isolation.Reach]:
        """Returns the reach of each ready peer, for any service, by id."""
        found = {}
        for received in self._live():
            heartbeat = received.heartbeat
            age_s = self._contact_age_s(received, None)
            is_summary = heartbeat.covered_vms > 0
            names = heartbeat.members if is_summary else [heartbeat.vm.id]
            for name in names:
                found[name] = isolation.reach_of(
                    age_s, name in heartbeat.cut_off
                )
        return found

    def contact_age_s(self) -> float:
        """Returns the seconds since an upstream responded to any peer."""
        ages = (self._contact_age_s(r, None) for r in self._live())
        return min((a for a in ages if a is not None), default=math.inf)

    def is_live(self, vm_id: str) -> bool:
        """Returns whether heartbeats tell that a peer is live and ready."""
        return vm_id in self.entry_addresses()

    def hosts(self) -> set[str]:
        """Returns the addresses of hosts that known VMs run on."""
        vms = [r.heartbeat.vm for r in self._received.values()]
        vms.extend(self._registered().values())
        return {vm_module.split_address(vm.peer)[0] for vm in vms}

    def _contact_age_s(
        self, received: ReceivedHeartbeat, service: str | None
    ) -> float | None:
        """Returns the seconds since an upstream responded, None if unknown.

        Args:
            received: Heartbeat of the VM that it responded to.
            service: The upstream's service, None for any.
        """
        contacts = received.heartbeat.contacts
        if service is None:
            age = min(contacts.values(), default=None)
        else:
            age = contacts.get(service)
        if age is None:
            return None
        return age / 100 + self._clock() - received.received_s

    def relays(self) -> tuple[str, ...]:
        """Returns the ids of the own region's relays in order of preference."""
        return self._derive().relays

    def store_age_s(self, vm_id: str) -> float:
        """Returns the seconds since the store last responded to a peer."""
        received = self._received.get(vm_id)
        if received is None:
            return math.inf
        return received.heartbeat.store_age_s + (
            self._clock() - received.received_s
        )

    def is_exact(self, vm_id: str) -> bool:
        """Returns whether a peer's replica lacks no change; see Heartbeat."""
        received = self._received.get(vm_id)
        return received is not None and received.heartbeat.is_exact

    def request_send(self) -> None:
        """Sends the next heartbeat early if peers may copy from this VM."""
        if self.is_full_mesh or self._own.id in self.relays():
            self._is_send_requested = True

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            due_s = self._last_sent_s + self.interval_s - self._clock()
            if self._is_send_requested or due_s <= 0:
                self._is_send_requested = False
                self.send()
                self._evict_stale()
            await asyncio.sleep(MIN_INTERVAL_S)

    def send(self) -> None:
        """Sends one heartbeat, and a summary if this VM is a relay."""
        if self._transport is None:
            return
        self._sequence += 1
        self._last_sent_s = self._clock()
        full_mesh = self.is_full_mesh
        vms = {name: h.heartbeat.vm for name, h in self._received.items()}
        vms.update(self._registered())
        vms.pop(self._own.id, None)
        direct = {
            vm.peer
            for vm in vms.values()
            if full_mesh or vm.region == self._own.region
        }
        direct = direct or set(self._seeds)
        if not direct <= self._sent_to:
            # A peer drops deltas until it has received a full heartbeat.
            self._heartbeat_encoder.reset()
        self._sent_to = direct
        heartbeat = self._build_heartbeat(
            self._sequence, self._heartbeat_encoder.is_full_due
        )
        message = self._heartbeat_encoder.encode(heartbeat)
        self._send_datagrams(direct, msgspec.msgpack.encode(message))
        if (
            full_mesh
            or self._last_sent_s - self._last_summary_s < SUMMARY_INTERVAL_S
        ):
            return
        if self._own.id in self.relays():
            self._last_summary_s = self._last_sent_s
            loads = self._upstreams.region_load_reports()
            summary = self._summary_encoder.encode(
                self._summary_builder.build(
                    heartbeat,
                    self.direct_heartbeats(),
                    loads,
                    self._upstreams.region_limit_reports(),
                    self._upstreams.work_percents(loads, False),
                )
            )
            remote = self._remote_relay_addresses(vms.values())
            self._send_datagrams(remote, msgspec.msgpack.encode(summary))

    def _remote_relay_addresses(self, vms: Iterable[vm_module.Vm]) -> set[str]:
        """Returns the peer addresses of the relays of other regions."""
        by_region: dict[str, list[vm_module.Vm]] = {}
        for vm in vms:
            if vm.region != self._own.region:
                by_region.setdefault(vm.region, []).append(vm)
        found = set()
        for region, region_vms in by_region.items():
            live = self._region_members(region)
            live_vms = [vm for vm in region_vms if not live or vm.id in live]
            chosen = choose_relays(region, live_vms or region_vms)
            found.update(vm.peer for vm in region_vms if vm.id in chosen)
        return found

    def _region_members(self, region: str) -> Mapping[str, str]:
        """Returns the members in the latest summary of a region, if fresh."""
        relay = self._active_relays.get(region)
        if relay is None:
            return {}
        received = self._summaries.get(relay)
        if received is None or not self._fresh([received]):
            return {}
        return received.heartbeat.members

    def _send_datagrams(self, addresses: set[str], data: bytes) -> None:
        for address in addresses:
            if address != self._own.peer:
                self._transport.sendto(data, vm_module.split_address(address))

    def _is_same_region(self, heartbeat: heartbeat_module.Heartbeat) -> bool:
        return heartbeat.vm.region == self._own.region

    def _fresh(
        self, found: Iterable[ReceivedHeartbeat]
    ) -> list[ReceivedHeartbeat]:
        """Returns the heartbeats that are fresh."""
        oldest_s = self._clock() - MAX_MISSED_HEARTBEATS * self.interval_s
        return [r for r in found if r.received_s >= oldest_s]

    def _evict_stale(self) -> None:
        """Evicts peers that have been stale for several times the limit."""
        limit = self._clock() - 10 * MAX_MISSED_HEARTBEATS * self.interval_s
        for name, received in list(self._received.items()):
            if received.received_s < limit:
                del self._received[name]
                logging.info("peer %s evicted", name)
        for name, received in list(self._summaries.items()):
            if (
                received.received_s < limit
                and name not in self._active_relays.values()
            ):
                del self._summaries[name]


def choose_relays(region: str, vms: Iterable[vm_module.Vm]) -> list[str]:
    """Returns the ids of a region's relays in order of preference.

    VMs with the highest bandwidth come first, since the other VMs copy the
    store from them. The second relay is in another failure domain if possible.

    Args:
        region: The region.
        vms: VMs of the region.
    """
    known = {vm.id: vm for vm in vms}
    ranked = rendezvous.rank(region, known)
    ranked.sort(key=lambda name: -known[name].link_mbps)
    chosen = ranked[:1]
    while ranked and len(chosen) < RELAYS_PER_REGION:
        used = {known[name].failure_domain for name in chosen}
        remaining = [name for name in ranked if name not in chosen]
        if not remaining:
            break
        separate = [n for n in remaining if known[n].failure_domain not in used]
        chosen.append((separate or remaining)[0])
    return chosen


def _recency(heartbeat: heartbeat_module.Heartbeat) -> tuple[int, int]:
    return heartbeat.vm.incarnation, heartbeat.sequence

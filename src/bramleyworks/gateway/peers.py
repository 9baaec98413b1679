"""Heartbeats between entry VMs over UDP.

A datagram carries the sender's whole state, so that a lost one costs nothing
but its age, and a peer that does not answer holds nobody up. In a small fleet
every VM tells every other. In a large one VMs tell those of their region, and
two of them speak for the region: they tell the speakers of all others, which
pass it on in theirs. The cost of one VM then grows with the size of its region
and with the number of regions, and few bytes cross regions.
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
from bramleyworks.policy import rendezvous

# Time between two heartbeats. It bounds the age of what VMs know about each
# other's requests.
HEARTBEAT_INTERVAL_S = 0.25
# VMs up to which each one tells each other one.
MAX_FULL_MESH_VMS = 16
# Peers up to which the interval stays the same; with more, it grows with
# their number so that the cost of one VM stays the same.
MAX_PEERS_AT_FULL_RATE = 16
# Heartbeats of a peer that may be lost before it counts as gone.
MAX_MISSED_HEARTBEATS = 6
# VMs of a region that speak for it.
RELAYS_PER_REGION = 2
# Heartbeats of a speaker that may be lost before another one is believed.
MAX_MISSED_RELAY_HEARTBEATS = 2.5
# Time between two summaries of a region. They cross regions, where bytes are
# dear, and bound the age of what regions know of each other's requests.
SUMMARY_INTERVAL_S = 0.5
# Heartbeats, or summaries, from one whole one to the next. What a lost whole
# one told is known again after this many.
FULL_HEARTBEAT_EVERY = 6
FULL_SUMMARY_EVERY = 4
# Shortest time between two heartbeats that are sent because of news.
MIN_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The newest heartbeat of a peer and when it came (monotonic seconds)."""

    heartbeat: heartbeat_module.Heartbeat
    received_s: float


class Peers(asyncio.DatagramProtocol):
    """Sends this VM's heartbeat and keeps the newest one of each peer."""

    def __init__(
        self,
        own: vm_module.Vm,
        build_heartbeat: Callable[[int], heartbeat_module.Heartbeat],
        registered: Callable[[], Mapping[str, vm_module.Vm]],
        upstreams: registry_module.Registry,
        seeds: list[str],
        clock: Callable[[], float],
    ):
        """Creates the link without opening its socket.

        Args:
            own: This VM.
            build: Returns the heartbeat with a given number.
            registered: Returns the registered VMs by id.
            upstreams: Upstreams, whose loads VMs tell each other.
            seeds: Addresses to send to before any VM is known.
            clock: Monotonic time in seconds.
        """
        self._own = own
        self._build_heartbeat = build_heartbeat
        self._registered = registered
        self._upstreams = upstreams
        self._seeds = seeds
        self._clock = clock
        self._received: dict[str, ReceivedHeartbeat] = {}
        # Newest summary of each speaker of another region, and the speaker
        # that is believed, by region.
        self._summaries: dict[str, ReceivedHeartbeat] = {}
        self._active_relays: dict[str, str] = {}
        self._summary_builder = region_summary.SummaryBuilder()
        self._heartbeat_encoder = heartbeat_module.DeltaEncoder(
            FULL_HEARTBEAT_EVERY
        )
        self._summary_encoder = heartbeat_module.DeltaEncoder(
            FULL_SUMMARY_EVERY
        )
        self._sequence = 0
        self._last_sent_s = 0.0
        self._last_summary_s = -math.inf
        self._is_send_requested = False
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def is_full_mesh(self) -> bool:
        """Whether every VM tells every other."""
        known = {self._own.id, *self._received, *self._registered()}
        return len(known) <= MAX_FULL_MESH_VMS

    @property
    def interval_s(self) -> float:
        """Time between two heartbeats."""
        peers = sum(
            1
            for h in self._received.values()
            if self._is_same_region(h.heartbeat)
        )
        if self.is_full_mesh:
            peers = len(self._received)
        return HEARTBEAT_INTERVAL_S * max(1.0, peers / MAX_PEERS_AT_FULL_RATE)

    @property
    def propagation_s(self) -> float:
        """Time after which all VMs know what this one has told."""
        if self.is_full_mesh:
            return self.interval_s
        return self.interval_s + SUMMARY_INTERVAL_S

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keeps the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Takes a heartbeat if it is newer than the last one of its VM."""
        try:
            heartbeat = msgspec.msgpack.decode(
                data, type=heartbeat_module.Heartbeat
            )
        except msgspec.DecodeError as exc:
            logging.warning("heartbeat from %s: %s", addr[0], exc)
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
        whole = heartbeat_module.apply_delta(
            heartbeat, known.heartbeat if known else None
        )
        if whole is None:
            # The next whole one follows soon.
            return
        if (
            known is None
            or known.heartbeat.vm.incarnation != heartbeat.vm.incarnation
        ):
            # It has just started and knows nothing of this VM either.
            self._heartbeat_encoder.reset()
        table[heartbeat.vm.id] = ReceivedHeartbeat(whole, self._clock())
        self._upstreams.record_peer_loads(heartbeat.loads)
        if heartbeat.covered_vms:
            self._select_relay(whole)
            self._forward(heartbeat, data)
        elif known is None:
            logging.info("peer %s heard", heartbeat.vm.id)

    def _select_relay(self, summary: heartbeat_module.Heartbeat) -> None:
        """Chooses between the speakers of a region."""
        region = summary.vm.region
        name = self._active_relays.get(region)
        if name is not None and name != summary.vm.id:
            known = self._summaries[name]
            silent_s = self._clock() - known.received_s
            is_silent = silent_s > MAX_MISSED_RELAY_HEARTBEATS * self.interval_s
            # A VM that has just started may speak for itself alone.
            if (
                not is_silent
                and summary.covered_vms <= known.heartbeat.covered_vms
            ):
                return
        self._active_relays[region] = summary.vm.id

    def _forward(
        self, summary: heartbeat_module.Heartbeat, data: bytes
    ) -> None:
        """Tells the own region what the believed speaker of another said."""
        if self._active_relays[summary.vm.region] != summary.vm.id:
            return
        if self._own.id in self.relays():
            self._send_datagrams(
                {heartbeat.vm.peer for heartbeat in self.direct_heartbeats()},
                data,
            )

    def error_received(self, exc: Exception) -> None:
        """Logs an error of the socket; the peer is judged by its silence."""
        logging.debug("heartbeat socket: %s", exc)

    def direct_heartbeats(self) -> list[heartbeat_module.Heartbeat]:
        """Returns the heartbeats of live peers that speak for themselves.

        They are all peers in a small fleet, else those of the own region.
        """
        live = self._fresh(self._received.values())
        if self.is_full_mesh:
            return live
        return [
            heartbeat for heartbeat in live if self._is_same_region(heartbeat)
        ]

    def live_heartbeats(self) -> list[heartbeat_module.Heartbeat]:
        """Returns heartbeats that cover every live peer once."""
        if self.is_full_mesh:
            return self.direct_heartbeats()
        believed = [self._summaries[n] for n in self._active_relays.values()]
        return self.direct_heartbeats() + self._fresh(believed)

    def live_vm_count(self) -> int:
        """Returns the number of live VMs, this one included."""
        return 1 + sum(
            max(1, heartbeat.covered_vms)
            for heartbeat in self.live_heartbeats()
        )

    def entry_addresses(self) -> dict[str, tuple[str, str]]:
        """Returns region and entry address of peers that take callers."""
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

    def relays(self) -> list[str]:
        """Returns the VMs that speak for the own region, the first first."""
        vms = [
            heartbeat.vm
            for heartbeat in self.direct_heartbeats()
            if self._is_same_region(heartbeat)
        ]
        return choose_relays(self._own.region, [*vms, self._own])

    def heartbeat_age_s(self, vm_id: str) -> float:
        """Returns the time since a peer was heard."""
        heard = self._received.get(vm_id)
        return math.inf if heard is None else self._clock() - heard.received_s

    def request_send(self) -> None:
        """Sends the next heartbeat soon if others follow this VM."""
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
        """Sends one heartbeat to every VM that is to hear this one."""
        if self._transport is None:
            return
        self._sequence += 1
        self._last_sent_s = self._clock()
        heartbeat = self._build_heartbeat(self._sequence)
        is_flat = self.is_full_mesh
        vms = {name: h.heartbeat.vm for name, h in self._received.items()}
        vms.update(self._registered())
        vms.pop(self._own.id, None)
        near = {
            vm.peer
            for vm in vms.values()
            if is_flat or vm.region == self._own.region
        }
        short = self._heartbeat_encoder.encode(heartbeat)
        self._send_datagrams(
            near or set(self._seeds), msgspec.msgpack.encode(short)
        )
        if (
            is_flat
            or self._last_sent_s - self._last_summary_s < SUMMARY_INTERVAL_S
        ):
            return
        if self._own.id in self.relays():
            self._last_summary_s = self._last_sent_s
            summary = self._summary_encoder.encode(
                self._summary_builder.build(
                    heartbeat,
                    self.direct_heartbeats(),
                    self._upstreams.region_load_reports(),
                )
            )
            far = self._remote_relay_addresses(vms.values())
            self._send_datagrams(far, msgspec.msgpack.encode(summary))

    def _remote_relay_addresses(self, vms: Iterable[vm_module.Vm]) -> set[str]:
        """Returns where the summary of the own region is sent."""
        by_region: dict[str, list[vm_module.Vm]] = {}
        for vm in vms:
            if vm.region != self._own.region:
                by_region.setdefault(vm.region, []).append(vm)
        found = set()
        for region, all_there in by_region.items():
            live = self._region_members(region)
            there = [vm for vm in all_there if not live or vm.id in live]
            chosen = choose_relays(region, there or all_there)
            found.update(vm.peer for vm in all_there if vm.id in chosen)
        return found

    def _region_members(self, region: str) -> Mapping[str, str]:
        """Returns the VMs that a region's speaker named lately."""
        heard = self._summaries.get(self._active_relays.get(region, ""))
        if heard is None or not self._fresh([heard]):
            return {}
        return heard.heartbeat.members

    def _send_datagrams(self, addresses: set[str], data: bytes) -> None:
        for address in addresses:
            if address != self._own.peer:
                host, _, port = address.rpartition(":")
                self._transport.sendto(data, (host, int(port)))

    def _is_same_region(self, heartbeat: heartbeat_module.Heartbeat) -> bool:
        return heartbeat.vm.region == self._own.region

    def _fresh(
        self, found: Iterable[ReceivedHeartbeat]
    ) -> list[heartbeat_module.Heartbeat]:
        """Returns the heartbeats that are young enough to count."""
        oldest_s = self._clock() - MAX_MISSED_HEARTBEATS * self.interval_s
        return [
            heard.heartbeat for heard in found if heard.received_s >= oldest_s
        ]

    def _evict_stale(self) -> None:
        """Drops peers that have been silent for several times the limit."""
        limit = self._clock() - 10 * MAX_MISSED_HEARTBEATS * self.interval_s
        for name, heard in list(self._received.items()):
            if heard.received_s < limit:
                del self._received[name]
                logging.info("peer %s lost", name)
        for name, heard in list(self._summaries.items()):
            if (
                heard.received_s < limit
                and name not in self._active_relays.values()
            ):
                del self._summaries[name]


def choose_relays(region: str, vms: Iterable[vm_module.Vm]) -> list[str]:
    """Returns the VMs that speak for a region.

    The widest links come first, since followers copy the store through them,
    and the second one is in another failure domain if there is one.
    """
    known = {vm.id: vm for vm in vms}
    ranked = rendezvous.rank(region, known)
    ranked.sort(key=lambda name: -known[name].link_mbps)
    chosen = ranked[:1]
    while ranked and len(chosen) < RELAYS_PER_REGION:
        used = {known[name].failure_domain for name in chosen}
        left = [name for name in ranked if name not in chosen]
        if not left:
            break
        apart = [n for n in left if known[n].failure_domain not in used]
        chosen.append((apart or left)[0])
    return chosen


def _recency(heartbeat: heartbeat_module.Heartbeat) -> tuple[int, int]:
    return heartbeat.vm.incarnation, heartbeat.sequence

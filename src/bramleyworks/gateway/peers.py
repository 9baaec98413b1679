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

from bramleyworks.gateway import beat as beat_module
from bramleyworks.gateway import region_summary
from bramleyworks.gateway import registry as registry_module
from bramleyworks.gateway import vm as vm_module
from bramleyworks.policy import rendezvous

# Time between two heartbeats. It bounds the age of what VMs know about each
# other's requests.
BEAT_S = 0.25
# VMs up to which each one tells each other one.
FLAT_VMS = 16
# Peers up to which the interval stays the same; with more, it grows with
# their number so that the cost of one VM stays the same.
PEERS_AT_FULL_RATE = 16
# Heartbeats of a peer that may be lost before it counts as gone.
MISSED_BEATS = 6
# VMs of a region that speak for it.
SPEAKERS = 2
# Heartbeats of a speaker that may be lost before another one is believed.
SPEAKER_MISSED = 2.5
# Time between two summaries of a region. They cross regions, where bytes are
# dear, and bound the age of what regions know of each other's requests.
SUMMARY_S = 0.5
# Heartbeats, or summaries, from one whole one to the next. What a lost whole
# one told is known again after this many.
WHOLE_EVERY = 6
WHOLE_SUMMARY_EVERY = 4
# Shortest time between two heartbeats that are sent because of news.
NEWS_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """The newest heartbeat of a peer and when it came (monotonic seconds)."""

    beat: beat_module.Beat
    at_s: float


class Peers(asyncio.DatagramProtocol):
    """Sends this VM's heartbeat and keeps the newest one of each peer."""

    def __init__(
        self,
        own: vm_module.Vm,
        build: Callable[[int], beat_module.Beat],
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
        self._build = build
        self._registered = registered
        self._upstreams = upstreams
        self._seeds = seeds
        self._clock = clock
        self._heard: dict[str, Heard] = {}
        # Newest summary of each speaker of another region, and the speaker
        # that is believed, by region.
        self._summaries: dict[str, Heard] = {}
        self._believed: dict[str, str] = {}
        self._summary = region_summary.RegionSummary()
        self._beats = beat_module.Shortener(WHOLE_EVERY)
        self._short_summaries = beat_module.Shortener(WHOLE_SUMMARY_EVERY)
        self._number = 0
        self._sent_s = 0.0
        self._summary_s = -math.inf
        self._has_news = False
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def is_flat(self) -> bool:
        """Whether every VM tells every other."""
        known = {self._own.id, *self._heard, *self._registered()}
        return len(known) <= FLAT_VMS

    @property
    def interval_s(self) -> float:
        """Time between two heartbeats."""
        peers = sum(1 for h in self._heard.values() if self._is_near(h.beat))
        if self.is_flat:
            peers = len(self._heard)
        return BEAT_S * max(1.0, peers / PEERS_AT_FULL_RATE)

    @property
    def lag_s(self) -> float:
        """Time after which all VMs know what this one has told."""
        if self.is_flat:
            return self.interval_s
        return self.interval_s + SUMMARY_S

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keeps the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Takes a heartbeat if it is newer than the last one of its VM."""
        try:
            beat = msgspec.msgpack.decode(data, type=beat_module.Beat)
        except msgspec.DecodeError as exc:
            logging.warning("heartbeat from %s: %s", addr[0], exc)
            return
        if beat.vm.id == self._own.id:
            return
        if beat.speaks_for and self._is_near(beat):
            return
        table = self._summaries if beat.speaks_for else self._heard
        known = table.get(beat.vm.id)
        if known is not None and _age(beat) <= _age(known.beat):
            return
        whole = beat_module.complete(beat, known.beat if known else None)
        if whole is None:
            # The next whole one follows soon.
            return
        if known is None or known.beat.vm.incarnation != beat.vm.incarnation:
            # It has just started and knows nothing of this VM either.
            self._beats.restart()
        table[beat.vm.id] = Heard(whole, self._clock())
        self._upstreams.record_peer_loads(beat.loads)
        if beat.speaks_for:
            self._believe(whole)
            self._pass_on(beat, data)
        elif known is None:
            logging.info("peer %s heard", beat.vm.id)

    def _believe(self, summary: beat_module.Beat) -> None:
        """Chooses between the speakers of a region."""
        region = summary.vm.region
        name = self._believed.get(region)
        if name is not None and name != summary.vm.id:
            known = self._summaries[name]
            silent_s = self._clock() - known.at_s
            is_silent = silent_s > SPEAKER_MISSED * self.interval_s
            # A VM that has just started may speak for itself alone.
            if not is_silent and summary.speaks_for <= known.beat.speaks_for:
                return
        self._believed[region] = summary.vm.id

    def _pass_on(self, summary: beat_module.Beat, data: bytes) -> None:
        """Tells the own region what the believed speaker of another said."""
        if self._believed[summary.vm.region] != summary.vm.id:
            return
        if self._own.id in self.speakers():
            self._send_to({beat.vm.peer for beat in self.near()}, data)

    def error_received(self, exc: Exception) -> None:
        """Logs an error of the socket; the peer is judged by its silence."""
        logging.debug("heartbeat socket: %s", exc)

    def near(self) -> list[beat_module.Beat]:
        """Returns the heartbeats of live peers that speak for themselves.

        They are all peers in a small fleet, else those of the own region.
        """
        live = self._fresh(self._heard.values())
        if self.is_flat:
            return live
        return [beat for beat in live if self._is_near(beat)]

    def sources(self) -> list[beat_module.Beat]:
        """Returns heartbeats that cover every live peer once."""
        if self.is_flat:
            return self.near()
        believed = [self._summaries[n] for n in self._believed.values()]
        return self.near() + self._fresh(believed)

    def count(self) -> int:
        """Returns the number of live VMs, this one included."""
        return 1 + sum(max(1, beat.speaks_for) for beat in self.sources())

    def entries(self) -> dict[str, tuple[str, str]]:
        """Returns region and entry address of peers that take callers."""
        found = {}
        for beat in self.sources():
            if beat.speaks_for:
                for name, entry in beat.members.items():
                    found[name] = (beat.vm.region, entry)
            elif beat.is_ready:
                found[beat.vm.id] = (beat.vm.region, beat.vm.entry)
        return found

    def speakers(self) -> list[str]:
        """Returns the VMs that speak for the own region, the first first."""
        vms = [beat.vm for beat in self.near() if self._is_near(beat)]
        return speakers(self._own.region, [*vms, self._own])

    def silence_s(self, vm_id: str) -> float:
        """Returns the time since a peer was heard."""
        heard = self._heard.get(vm_id)
        return math.inf if heard is None else self._clock() - heard.at_s

    def tell_news(self) -> None:
        """Sends the next heartbeat soon if others follow this VM."""
        if self.is_flat or self._own.id in self.speakers():
            self._has_news = True

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            due_s = self._sent_s + self.interval_s - self._clock()
            if self._has_news or due_s <= 0:
                self._has_news = False
                self.send()
                self._forget()
            await asyncio.sleep(NEWS_S)

    def send(self) -> None:
        """Sends one heartbeat to every VM that is to hear this one."""
        if self._transport is None:
            return
        self._number += 1
        self._sent_s = self._clock()
        beat = self._build(self._number)
        is_flat = self.is_flat
        vms = {name: h.beat.vm for name, h in self._heard.items()}
        vms.update(self._registered())
        vms.pop(self._own.id, None)
        near = {
            vm.peer
            for vm in vms.values()
            if is_flat or vm.region == self._own.region
        }
        short = self._beats.shorten(beat)
        self._send_to(near or set(self._seeds), msgspec.msgpack.encode(short))
        if is_flat or self._sent_s - self._summary_s < SUMMARY_S:
            return
        if self._own.id in self.speakers():
            self._summary_s = self._sent_s
            summary = self._short_summaries.shorten(
                self._summary.build(
                    beat, self.near(), self._upstreams.region_load_reports()
                )
            )
            far = self._far_speakers(vms.values())
            self._send_to(far, msgspec.msgpack.encode(summary))

    def _far_speakers(self, vms: Iterable[vm_module.Vm]) -> set[str]:
        """Returns where the summary of the own region is sent."""
        by_region: dict[str, list[vm_module.Vm]] = {}
        for vm in vms:
            if vm.region != self._own.region:
                by_region.setdefault(vm.region, []).append(vm)
        found = set()
        for region, all_there in by_region.items():
            live = self._members(region)
            there = [vm for vm in all_there if not live or vm.id in live]
            chosen = speakers(region, there or all_there)
            found.update(vm.peer for vm in all_there if vm.id in chosen)
        return found

    def _members(self, region: str) -> Mapping[str, str]:
        """Returns the VMs that a region's speaker named lately."""
        heard = self._summaries.get(self._believed.get(region, ""))
        if heard is None or not self._fresh([heard]):
            return {}
        return heard.beat.members

    def _send_to(self, addresses: set[str], data: bytes) -> None:
        for address in addresses:
            if address != self._own.peer:
                host, _, port = address.rpartition(":")
                self._transport.sendto(data, (host, int(port)))

    def _is_near(self, beat: beat_module.Beat) -> bool:
        return beat.vm.region == self._own.region

    def _fresh(self, found: Iterable[Heard]) -> list[beat_module.Beat]:
        """Returns the heartbeats that are young enough to count."""
        oldest_s = self._clock() - MISSED_BEATS * self.interval_s
        return [heard.beat for heard in found if heard.at_s >= oldest_s]

    def _forget(self) -> None:
        """Drops peers that have been silent for several times the limit."""
        limit = self._clock() - 10 * MISSED_BEATS * self.interval_s
        for name, heard in list(self._heard.items()):
            if heard.at_s < limit:
                del self._heard[name]
                logging.info("peer %s lost", name)
        for name, heard in list(self._summaries.items()):
            if heard.at_s < limit and name not in self._believed.values():
                del self._summaries[name]


def speakers(region: str, vms: Iterable[vm_module.Vm]) -> list[str]:
    """Returns the VMs that speak for a region.

    The widest links come first, since followers copy the store through them,
    and the second one is in another failure domain if there is one.
    """
    known = {vm.id: vm for vm in vms}
    ranked = rendezvous.rank(region, known)
    ranked.sort(key=lambda name: -known[name].link_mbps)
    chosen = ranked[:1]
    while ranked and len(chosen) < SPEAKERS:
        used = {known[name].failure_domain for name in chosen}
        left = [name for name in ranked if name not in chosen]
        if not left:
            break
        apart = [n for n in left if known[n].failure_domain not in used]
        chosen.append((apart or left)[0])
    return chosen


def _age(beat: beat_module.Beat) -> tuple[int, int]:
    return beat.vm.incarnation, beat.number

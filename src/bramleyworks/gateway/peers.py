"""Heartbeats between entry VMs over UDP.

A datagram carries the sender's whole state, so that a lost one costs nothing
but its age, and a peer that does not answer holds nobody up.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Iterable

import msgspec
from absl import logging

from bramleyworks.gateway import beat as beat_module
from bramleyworks.gateway import vm as vm_module

# Time between two heartbeats of a VM with few peers. It bounds the age of
# what VMs know about each other's requests.
BEAT_S = 0.25
# Peers up to which the interval stays the same; with more, it grows with
# their number so that the cost of one VM stays the same.
PEERS_AT_FULL_RATE = 16
# Heartbeats of a peer that may be lost before it counts as gone.
MISSED_BEATS = 6


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
        known: Callable[[], Iterable[str]],
        clock: Callable[[], float],
    ):
        """Creates the link without opening its socket.

        Args:
            own: This VM.
            build: Returns the heartbeat with a given number.
            known: Returns addresses to send to besides the peers heard from.
            clock: Monotonic time in seconds.
        """
        self._own = own
        self._build = build
        self._known = known
        self._clock = clock
        self._heard: dict[str, Heard] = {}
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def interval_s(self) -> float:
        """Time between two heartbeats."""
        return BEAT_S * max(1.0, len(self._heard) / PEERS_AT_FULL_RATE)

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
        known = self._heard.get(beat.vm.id)
        if known is not None and _age(beat) <= _age(known.beat):
            return
        self._heard[beat.vm.id] = Heard(beat, self._clock())
        if known is None:
            logging.info("peer %s heard", beat.vm.id)

    def error_received(self, exc: Exception) -> None:
        """Logs an error of the socket; the peer is judged by its silence."""
        logging.debug("heartbeat socket: %s", exc)

    def live(self) -> list[beat_module.Beat]:
        """Returns the heartbeats of the peers that are heard from."""
        limit = self._clock() - MISSED_BEATS * self.interval_s
        return [h.beat for h in self._heard.values() if h.at_s >= limit]

    def age_s(self, vm_id: str) -> float | None:
        """Returns the time since a peer was heard, None if it never was."""
        heard = self._heard.get(vm_id)
        return None if heard is None else self._clock() - heard.at_s

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self.send()
            self._forget()
            await asyncio.sleep(self.interval_s)

    def send(self) -> None:
        """Sends one heartbeat to every known VM."""
        if self._transport is None:
            return
        self._number += 1
        data = msgspec.msgpack.encode(self._build(self._number))
        addresses = {h.beat.vm.peer for h in self._heard.values()}
        addresses.update(self._known())
        addresses.discard(self._own.peer)
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _forget(self) -> None:
        """Drops peers that have been silent for several times the limit."""
        limit = self._clock() - 10 * MISSED_BEATS * self.interval_s
        for name, heard in list(self._heard.items()):
            if heard.at_s < limit:
                del self._heard[name]
                logging.info("peer %s lost", name)


def _age(beat: beat_module.Beat) -> tuple[int, int]:
    return beat.vm.incarnation, beat.number

"""Model of the network between VMs."""

import asyncio
from collections.abc import Callable

from bramleyworks.messages import codec


class ModelNetwork:
    """Delivers messages after the latency between regions.

    Messages to or from a partitioned region or a stopped VM are lost.

    Attributes:
        links: Links by VM name.
        partitioned_regions: Regions that are cut off from all others.
        dead: Names of stopped VMs, which neither send nor receive.
        messages: Number of messages sent.
        message_bytes: Total size of the messages sent in bytes.
    """

    def __init__(self, delay_s: Callable[[str, str], float]):
        self._delay_s = delay_s
        self.links: dict[str, ModelLink] = {}
        self.partitioned_regions: set[str] = set()
        self.dead: set[str] = set()
        self.messages = 0
        self.message_bytes = 0

    def is_reachable(self, source: str, target: str) -> bool:
        """Returns whether a message from one VM reaches another."""
        if source in self.dead or target in self.dead:
            return False
        source_region = self.links[source].region
        target_region = self.links[target].region
        return source_region == target_region or not (
            {source_region, target_region} & self.partitioned_regions
        )

    def send(self, source: str, target: str, msg: codec.Message) -> bool:
        """Sends a message; returns False if the target has no link."""
        if target not in self.links:
            return False
        data = codec.encode(msg)
        self.messages += 1
        self.message_bytes += len(data)
        delay_s = self._delay_s(
            self.links[source].region, self.links[target].region
        )
        asyncio.get_running_loop().call_later(
            delay_s, self._deliver, source, target, data
        )
        return True

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        if not self.is_reachable(source, target):
            return
        msg = codec.decode(data, source).unwrap()
        handler = self.links[target].handlers.get(type(msg))
        if handler is not None:
            handler(source, msg)


class ModelLink:
    """Implements the methods of ``daemon.peer_link.PeerLink`` used by tasks."""

    def __init__(self, network: ModelNetwork, name: str, region: str):
        self._network = network
        self._name = name
        self.region = region
        self.handlers: dict[type, Callable] = {}
        network.links[name] = self

    def register(self, kind: type, handler: Callable) -> None:
        """Sets the handler of one message type."""
        self.handlers[kind] = handler

    def connect(self, name: str, address: str) -> None:
        """Does nothing, since every VM is reachable by name."""

    def disconnect(self, name: str) -> None:
        """Does nothing, since no connection is kept."""

    def send(self, name: str, msg: codec.Message) -> bool:
        """Sends a message without waiting for its delivery."""
        return self._network.send(self._name, name, msg)

"""Messages between the VMs of the model."""

import asyncio
from collections.abc import Callable

from bramleyworks.messages import codec


class ModelNetwork:
    """Delays messages by the latency between regions; may cut regions off.

    Attributes:
        links: Link of each VM by name.
        cut: Regions that reach only themselves.
        dead: VMs that neither send nor receive.
        messages: Messages sent so far.
        message_bytes: Their size in bytes.
    """

    def __init__(self, delay_s: Callable[[str, str], float]):
        self._delay_s = delay_s
        self.links: dict[str, ModelLink] = {}
        self.partitioned_regions: set[str] = set()
        self.dead: set[str] = set()
        self.messages = 0
        self.message_bytes = 0

    def is_reachable(self, source: str, target: str) -> bool:
        """Returns whether a message gets from one VM to another."""
        if source in self.dead or target in self.dead:
            return False
        one = self.links[source].region
        two = self.links[target].region
        return one == two or not ({one, two} & self.partitioned_regions)

    def send(self, source: str, target: str, msg: codec.Message) -> bool:
        """Sends a message; False if the target is not known."""
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
    """Has the methods of ``daemon.peer_link.PeerLink`` that tasks use."""

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
        """Does nothing; every VM is reachable by name."""

    def disconnect(self, name: str) -> None:
        """Does nothing."""

    def send(self, name: str, msg: codec.Message) -> bool:
        """Sends a message without waiting."""
        return self._network.send(self._name, name, msg)

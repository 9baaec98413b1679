"""In-process stand-in for the peer link."""

from bramleyworks.messages import codec


class FakeNetwork:
    """Holds messages until the test delivers, drops or duplicates them.

    Attributes:
        links: Link of each VM, by name.
        pending: Tuples of sender, receiver and encoded message.
        blocked_paths: Pairs of sender and receiver whose messages are lost.
    """

    def __init__(self):
        self.links = {}
        self.pending = []
        self.blocked_paths = set()

    def create_link(self, name):
        self.links[name] = FakeLink(self, name)
        return self.links[name]

    def deliver(self, index=0):
        """Delivers one pending message."""
        sender, receiver, data = self.pending.pop(index)
        if (
            sender,
            receiver,
        ) in self.blocked_paths or receiver not in self.links:
            return
        msg = codec.decode(data, sender).unwrap()
        handler = self.links[receiver].handlers.get(type(msg))
        if handler:
            handler(sender, msg)

    def deliver_all(self):
        while self.pending:
            self.deliver()


class FakeLink:
    """Implements the methods of ``peer_link.PeerLink`` that tasks use."""

    def __init__(self, network, name):
        self._network = network
        self._name = name
        self.handlers = {}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, msg):
        self._network.pending.append((self._name, name, codec.encode(msg)))
        return True

"""Message transport between daemons, on ZeroMQ."""

import collections
import contextlib
import itertools
import time
from collections.abc import Callable

import zmq
import zmq.asyncio
from absl import logging

from bramleyworks.daemon import identity
from bramleyworks.messages import codec

MAX_QUEUED_MESSAGES = 1000
RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 1000
IDENTITY_SEPARATOR = "/"

Handler = Callable[[str, codec.Message], None]


class PeerLink:
    """Sends and receives messages and owns the sockets.

    Delivery is best-effort: messages may be lost, and those that arrive are in
    order per sender. Handlers are called on the event loop with the name of
    the sending VM, and must not block or raise.

    Attributes:
        counts: Counters of messages and bytes sent and received, of messages
            dropped or malformed, and of time spent in handlers in
            microseconds.
    """

    def __init__(self, me: identity.Identity):
        self._me = me
        self._context = zmq.asyncio.Context()
        self._handlers: dict[type, Handler] = {}
        self._dealers: dict[str, tuple[str, zmq.Socket]] = {}
        self._router: zmq.asyncio.Socket | None = None
        self._exit_stack = contextlib.ExitStack()
        self._socket_numbers = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()

    def register(self, kind: type, handler: Handler) -> None:
        """Registers the handler for one message type."""
        self._handlers[kind] = handler

    def bind(self) -> None:
        """Binds the receiving socket to this VM's peer address."""
        self._exit_stack.callback(self._context.destroy, linger=0)
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.setsockopt(zmq.MAXMSGSIZE, codec.MAX_MESSAGE_BYTES)
        self._router.bind(f"tcp://{self._me.peer}")

    def connect(self, name: str, address: str) -> None:
        """Connects to a VM, or reconnects if its address has changed.

        Args:
            name: Name of the VM, or ``"seed:ADDRESS"`` for an address whose
                VM name is unknown so far.
            address: ``IP:PORT`` of its peer link.
        """
        connection = self._dealers.get(name)
        if connection and connection[0] == address:
            return
        if connection:
            connection[1].close(linger=0)
        # Sends never block, so a plain socket suffices. It avoids the overhead
        # of the asyncio socket on each message.
        sock = zmq.Socket(self._context, zmq.DEALER)
        # With ROUTER_HANDOVER, the receiver keeps only the latest of two
        # sockets with the same identity. Sockets to a seed address and to the
        # VM at that address would replace each other repeatedly, so each
        # socket gets a unique identity.
        parts = (
            self._me.vm_id,
            self._me.incarnation,
            str(next(self._socket_numbers)),
        )
        sock.setsockopt(zmq.IDENTITY, IDENTITY_SEPARATOR.join(parts).encode())
        # Sends fail immediately while disconnected. Otherwise messages queued
        # for an ended process would reach the process that replaces it.
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
        sock.connect(f"tcp://{address}")
        self._dealers[name] = (address, sock)

    def disconnect(self, name: str) -> None:
        """Closes the connection to a VM."""
        connection = self._dealers.pop(name, None)
        if connection:
            connection[1].close(linger=0)

    def send(self, name: str, msg: codec.Message) -> bool:
        """Queues a message for sending without blocking.

        Returns:
            False if the VM is not connected or its send queue is full. The
            message is then guaranteed not to have been sent.
        """
        connection = self._dealers.get(name)
        if not connection:
            return False
        data = codec.encode(msg)
        try:
            connection[1].send(data, zmq.NOBLOCK)
        except zmq.Again:
            self.counts["dropped"] += 1
            return False
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        return True

    async def run(self) -> None:
        """Receives messages until cancelled."""
        while True:
            frames = await self._router.recv_multipart()
            if len(frames) != 2:
                self.counts["malformed"] += 1
                continue
            self._dispatch(frames[0], frames[1])

    def _dispatch(self, sender: bytes, data: bytes) -> None:
        name = sender.decode("utf-8", "replace").split(IDENTITY_SEPARATOR)[0]
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        decoded = codec.decode(data, name)
        if decoded.is_err():
            self.counts["malformed"] += 1
            logging.warning(
                "malformed message dropped: %s", decoded.unwrap_err()
            )
            return
        msg = decoded.unwrap()
        handler = self._handlers.get(type(msg))
        if handler is not None:
            started_s = time.perf_counter()
            handler(name, msg)
            self.counts["handler_us"] += int(
                (time.perf_counter() - started_s) * 1e6
            )

    def close(self) -> None:
        """Closes all sockets and drops unsent messages."""
        for _, sock in self._dealers.values():
            sock.close(linger=0)
        self._dealers.clear()
        if self._router is not None:
            self._router.close(linger=0)
        self._exit_stack.close()

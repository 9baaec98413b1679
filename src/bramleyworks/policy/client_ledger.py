"""Decides how much clients may hold, and which of them give it back first.

A client is one connection: callers behind one address can not be told apart.
"""

import dataclasses
import heapq
from collections.abc import Iterable
from collections.abc import Mapping

# Part of the VM's memory that clients may hold. An idle process takes about 60
# of 200 MB; the rest is left for requests in progress and for fragmentation.
MEMORY_FRACTION = 0.35
# Descriptors that are reserved for files.
FILE_DESCRIPTORS = 200
# Part of the other descriptors that clients' connections may take. The rest is
# for upstreams, other VMs and the store.
CONNECTION_FRACTION = 0.7
# Reclaiming goes down to this part of a bound, so that it does not have to look
# at all clients for each new one.
RECLAIM_FRACTION = 0.9
# Listener for requests of other VMs.
PEERS = "peers"
# Part of each bound that the clients of one listener may take together. A crowd
# at one address therefore leaves the shares of the others free. Another VM
# sends up to 64 requests at once while it reaches no upstream, and other VMs
# copy the store, some MB each, over the control interface.
SHARES = {
    "entry": 0.6,
    PEERS: 0.12,
    "directory": 0.08,
    "ready": 0.04,
    "control": 0.12,
    "metrics": 0.04,
}
# Added to the time without progress, so that among clients that have just come
# those that hold most are first.
MIN_STALL_S = 0.25
# Weight of clients that never got a response, against those that did.
UNSERVED_WEIGHT = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What all clients may hold together.

    Attributes:
        memory_bytes: Memory.
        conns: Connections.
    """

    memory_bytes: int
    conns: int


@dataclasses.dataclass(slots=True, eq=False)
class Account:
    """What one client holds.

    Attributes:
        listener: Name of the listener that it has connected to.
        owner: Its connection.
        held_bytes: Memory that it holds.
        progress_s: When a response to it ended, its body advanced or it only
            waited for an upstream, else when it connected.
        is_served: Whether a response to it has ended.
        is_ending: Whether it has all responses and waits for the client to
            close.
        is_open: Whether it counts.
    """

    listener: str
    owner: object
    held_bytes: int
    progress_s: float
    is_served: bool = False
    is_ending: bool = False
    is_open: bool = True


def bounds(
    ram_mb: float, max_fds: float, memory_mb: float, conns: float
) -> Bounds:
    """Returns the bounds of a VM.

    Args:
        ram_mb: Memory of the VM.
        max_fds: Descriptors of its process.
        memory_mb: Memory that clients may hold, 0 for a part of the VM's.
        conns: Connections of clients, 0 for a part of the descriptors.
    """
    memory_mb = memory_mb or ram_mb * MEMORY_FRACTION
    sockets = max(0.0, max_fds - FILE_DESCRIPTORS)
    conns = conns or sockets * CONNECTION_FRACTION
    return Bounds(int(memory_mb * 1024 * 1024), max(len(SHARES), int(conns)))


class Ledger:
    """Adds up what clients hold, by listener."""

    def __init__(
        self,
        limits: Bounds,
        shares: Mapping[str, float] | None = None,
        idle_bytes: int = 0,
    ):
        """Initializes an empty ledger.

        Args:
            limits: What all clients may hold together.
            shares: Part of it by listener.
            idle_bytes: Memory of a connection without a request.
        """
        self._idle_bytes = idle_bytes
        shares = SHARES if shares is None else shares
        self._shares = shares
        self._max_conns: dict[str, int] = {}
        self._max_bytes: dict[str, int] = {}
        self.configure(limits)
        self._accounts: dict[str, set[Account]] = {n: set() for n in shares}
        self._held_bytes = dict.fromkeys(shares, 0)

    def configure(self, limits: Bounds) -> None:
        """Replaces the bounds; clients that are beyond them stay for now."""
        for name, share in self._shares.items():
            self._max_conns[name] = max(1, int(limits.conns * share))
            self._max_bytes[name] = int(limits.memory_bytes * share)

    def open(
        self, listener: str, owner: object, held_bytes: int, now_s: float
    ) -> Account:
        """Adds a client."""
        account = Account(listener, owner, held_bytes, now_s)
        self._accounts[listener].add(account)
        self._held_bytes[listener] += held_bytes
        return account

    def update(self, account: Account, held_bytes: int) -> None:
        """Replaces what a client holds."""
        if account.is_open:
            self._held_bytes[account.listener] += (
                held_bytes - account.held_bytes
            )
            account.held_bytes = held_bytes

    def close(self, account: Account) -> None:
        """Removes a client."""
        if account.is_open:
            account.is_open = False
            self._accounts[account.listener].discard(account)
            self._held_bytes[account.listener] -= account.held_bytes

    def held_bytes(self, listener: str) -> int:
        """Returns the memory that the clients of a listener hold."""
        return self._held_bytes[listener]

    def conns(self, listener: str) -> int:
        """Returns the number of connections to a listener."""
        return len(self._accounts[listener])

    def has_too_many(self, listener: str) -> bool:
        """Returns whether a listener has more connections than it may."""
        return self.conns(listener) > self._max_conns[listener]

    def holds_too_much(self, listener: str) -> bool:
        """Returns whether the clients of a listener hold too much memory."""
        return self._held_bytes[listener] > self._max_bytes[listener]

    def choose_conns(self, listener: str, now_s: float) -> list[Account]:
        """Returns the clients whose connections are closed, worst first.

        Connections that end anyway come before all others.
        """
        target = max(1, int(self._max_conns[listener] * RECLAIM_FRACTION))
        count = max(0, self.conns(listener) - target)
        return heapq.nlargest(
            count,
            self._accounts[listener],
            key=lambda a: (a.is_ending, _waste(a, now_s)),
        )

    def choose_memory(self, listener: str, now_s: float) -> list[Account]:
        """Returns the clients whose memory is taken back, worst first."""
        excess = self._held_bytes[listener] - int(
            self._max_bytes[listener] * RECLAIM_FRACTION
        )
        chosen = []
        accounts = self._accounts[listener]
        for account in rank(accounts, now_s, len(accounts), self._idle_bytes):
            if excess <= 0:
                break
            chosen.append(account)
            excess -= account.held_bytes
        return chosen


def rank(
    accounts: Iterable[Account], now_s: float, count: int, idle_bytes: int = 0
) -> list[Account]:
    """Returns the clients that hold most and progress least, worst first.

    Idle connections come last, however long they are idle.

    Args:
        accounts: Clients.
        now_s: Monotonic time in seconds.
        count: Number of clients to return at most.
        idle_bytes: Memory of a connection without a request.
    """
    return heapq.nlargest(
        count,
        accounts,
        key=lambda a: (a.held_bytes > idle_bytes, _waste(a, now_s)),
    )


def _waste(account: Account, now_s: float) -> float:
    """Returns the memory that a client holds times how long for nothing."""
    stalled_s = now_s - account.progress_s + MIN_STALL_S
    weight = 1.0 if account.is_served else UNSERVED_WEIGHT
    return account.held_bytes * stalled_s * weight

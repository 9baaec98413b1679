"""Accounts of what clients hold, over all listeners of a VM."""

import collections
from collections.abc import Callable
from typing import Protocol

from bramleyworks.gateway import event_log
from bramleyworks.gateway import turn_scheduler
from bramleyworks.policy import client_ledger

# Memory of a connection without requests, with its transport and parser.
CONN_BYTES = 6 * 1024
# Memory of a request in progress, apart from its head and body.
REQUEST_BYTES = 16 * 1024
# Memory of a header field, apart from its bytes: a tuple and two objects.
FIELD_BYTES = 140
# Units of work of a request's handler, in fields or chunks parsed.
REQUEST_UNITS = 200
# Units of work of the end of a request whose caller has left.
CANCEL_UNITS = 100
# What is done to a client.
REFUSED = "refused"
CLOSED = "closed"
# Interval between two lines of the log of one kind.
LOG_INTERVAL_S = 1.0


class Client(Protocol):
    """A connection that has an account."""

    def reclaim(self) -> str:
        """Gives back what it holds; returns what was done."""

    def close_early(self) -> str:
        """Closes the connection; returns what was done."""


class ClientAccounts:
    """Takes capacity back when clients hold too much.

    Attributes:
        scheduler: Runs the work that clients leave for later turns.
        reclaims: Number of clients by listener, cause and what was done.
    """

    def __init__(
        self,
        limits: client_ledger.Bounds,
        scheduler: turn_scheduler.TurnScheduler,
        log: event_log.EventLog | None,
        clock: Callable[[], float],
    ):
        """Initializes without clients.

        Args:
            limits: What all clients may hold.
            scheduler: Runs the work that clients leave for later turns.
            log: Event log, None for none.
            clock: Monotonic time in seconds.
        """
        self.scheduler = scheduler
        self.reclaims: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._ledger = client_ledger.Ledger(limits, idle_bytes=CONN_BYTES)
        self._log = log
        self._clock = clock
        self._is_reclaiming = False
        self._logged_s: dict[str, float] = {}

    def configure(self, limits: client_ledger.Bounds) -> None:
        """Replaces what all clients may hold."""
        self._ledger.configure(limits)

    def open(self, listener: str, client: Client) -> client_ledger.Account:
        """Adds a client that has connected."""
        account = self._ledger.open(listener, client, CONN_BYTES, self._clock())
        if self._ledger.has_too_many(listener):
            self._reclaim(listener, "connections")
        return account

    def update(self, account: client_ledger.Account, held_bytes: int) -> None:
        """Replaces what a client holds, and takes back what is too much."""
        if held_bytes == account.held_bytes:
            return
        self._ledger.update(account, held_bytes)
        if self._ledger.holds_too_much(account.listener):
            self._reclaim(account.listener, "memory")

    def close(self, account: client_ledger.Account) -> None:
        """Removes a client that has gone."""
        self._ledger.close(account)

    def record_limit(self, listener: str, cause: str) -> None:
        """Records a client that a limit on its own has ended."""
        self.reclaims[listener, cause, CLOSED] += 1
        self._write_line(listener, cause)

    def totals(self) -> dict[str, tuple[int, int]]:
        """Returns connections and held bytes by listener."""
        return {
            name: (self._ledger.conns(name), self._ledger.held_bytes(name))
            for name in client_ledger.SHARES
        }

    def _reclaim(self, listener: str, cause: str) -> None:
        if self._is_reclaiming:
            return
        self._is_reclaiming = True
        done: collections.Counter[str] = collections.Counter()
        now_s = self._clock()
        try:
            if cause == "memory":
                for account in self._ledger.choose_memory(listener, now_s):
                    # Its memory is free as soon as its tasks have ended. One
                    # that was refused still has its connection.
                    action = account.owner.reclaim()
                    self._ledger.update(account, CONN_BYTES)
                    if action == CLOSED:
                        self._ledger.close(account)
                    done[action] += 1
            else:
                for account in self._ledger.choose_conns(listener, now_s):
                    self._ledger.close(account)
                    done[account.owner.close_early()] += 1
        finally:
            self._is_reclaiming = False
        for action, count in done.items():
            self.reclaims[listener, cause, action] += count
        self._write_line(listener, cause)

    def _write_line(self, listener: str, cause: str) -> None:
        now_s = self._clock()
        kind = f"{listener} {cause}"
        if now_s - self._logged_s.get(kind, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[kind] = now_s
        if self._log is not None:
            conns, held_bytes = self.totals()[listener]
            self._log.write(
                "clients.reclaimed",
                listener=listener,
                cause=cause,
                refused=self.reclaims[listener, cause, REFUSED],
                closed=self.reclaims[listener, cause, CLOSED],
                conns=conns,
                held_kb=held_bytes // 1024,
            )


def unbounded(clock: Callable[[], float]) -> ClientAccounts:
    """Returns accounts that take nothing back in practice."""
    return ClientAccounts(
        client_ledger.Bounds(2**40, 2**30),
        turn_scheduler.TurnScheduler(),
        None,
        clock,
    )

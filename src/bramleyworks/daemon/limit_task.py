"""Admits requests within the limits of organisations and links."""

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Callable

from absl import logging

from bramleyworks.daemon import identity
from bramleyworks.daemon import ledger_task
from bramleyworks.daemon import peer_link
from bramleyworks.document import document
from bramleyworks.document import stored_config
from bramleyworks.messages import token_ask
from bramleyworks.messages import token_grant
from bramleyworks.policy import fleet_view
from bramleyworks.policy import ledger as ledger_lib
from bramleyworks.policy import share_ledger
from bramleyworks.policy import token_borrowing
from bramleyworks.policy import token_bucket

TICK_S = 0.05
WAIT_TICK_S = 0.01
MAX_WAIT_S = 0.15
MAX_WAITERS = 256

MAX_ASKS_PER_S = 16.0
MAX_GRANTS_PER_S = 20.0
"""With at most 70 bytes a message these bound the traffic of all limits to
36 messages and 2.5 KB a second; heartbeats need the rest of the 4 KB."""

IDLE_REQUESTS_PER_S = 0.01

LINK_BURST_FRACTION = 0.25
"""Part of a link cap that may come at once. The rate is the rest, so that
burst plus rate stay within the cap in every window of one second."""


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    amount: float
    deadline_s: float
    future: asyncio.Future


@dataclasses.dataclass(eq=False, slots=True)
class _Limit:
    """One limit on this VM; mutable, owned by the task."""

    name: str
    rate_per_s: float
    burst: float
    bucket: token_bucket.TokenBucket
    borrower: token_borrowing.Borrower
    units: int = -1
    requested_tokens: float = 0.0
    requests: int = 0
    waiters: collections.deque[_Waiter] = dataclasses.field(
        default_factory=collections.deque
    )


def document_limits(doc: document.Document) -> dict[str, tuple[float, float]]:
    """Returns rate per second and burst of each limit of a document."""
    found = {
        f"org:{org.name}": (org.rate_per_s, org.burst)
        for org in doc.organisations
    }
    for cap in doc.link_caps:
        link = f"link:{cap.source}:{cap.target}"
        for unit, per_s in (
            ("requests", cap.requests_per_s),
            ("bits", cap.bits_per_s),
        ):
            found[f"{link}:{unit}"] = (
                per_s * (1.0 - LINK_BURST_FRACTION),
                per_s * LINK_BURST_FRACTION,
            )
    return found


class LimitTask:
    """Owns the token buckets of all limits.

    Args:
        me: Identity of this process.
        link: Link to the peers.
        ledger: Says how many units this VM holds.
        clock: Monotonic time in seconds, the same as the ledger task's.
        rng: Source of random numbers.

    Attributes:
        counts: Asks, grants and refusals.
    """

    def __init__(
        self,
        me: identity.Identity,
        link: peer_link.PeerLink,
        ledger: ledger_task.LedgerTask,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ):
        self._me = me
        self._link = link
        self._ledger = ledger
        self._clock = clock
        self._rng = rng or random.Random()
        self._last_progress_s = clock()
        self._limits: dict[str, _Limit] = {}
        self._active: dict[str, _Limit] = {}
        self._region_peers: tuple[str, ...] = ()
        self._remote_peers: tuple[str, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        # A grant for an earlier incarnation must not match an ask of this one.
        self._last_id = self._rng.getrandbits(62)
        self._ask_budget = self._create_message_budget(MAX_ASKS_PER_S)
        self._grant_budget = self._create_message_budget(MAX_GRANTS_PER_S)
        self.counts: collections.Counter[str] = collections.Counter()
        link.register(token_ask.TokenAsk, self._on_ask)
        link.register(token_grant.TokenGrant, self._on_grant)

    def try_take(self, limit: str, amount: float) -> bool:
        """Takes tokens if they are there; never waits.

        Args:
            limit: Name of the limit; one that the document lacks admits
                nothing.
            amount: Tokens, 1 for a request.
        """
        known = self._limits.get(limit)
        if known is None:
            return False
        known.requested_tokens += amount
        known.requests += 1
        self._active[limit] = known
        if known.waiters:
            return False
        return self._take(known, self._clock(), amount)

    async def take(self, limit: str, amount: float, deadline_s: float) -> bool:
        """Takes tokens, waiting for borrowed or new ones if need be.

        Args:
            limit: Name of the limit.
            amount: Tokens, 1 for a request.
            deadline_s: Time on the task's clock at which waiting is of no
                use any more; it ends after ``MAX_WAIT_S`` in any case.
        """
        if self.try_take(limit, amount):
            return True
        return await self.wait(limit, amount, deadline_s)

    async def wait(self, limit: str, amount: float, deadline_s: float) -> bool:
        """Waits for tokens after ``try_take`` has failed.

        Unlike ``take`` it does not count the request's demand again.
        """
        known = self._limits.get(limit)
        now_s = self._clock()
        until_s = min(deadline_s, now_s + MAX_WAIT_S)
        if (
            known is None
            or until_s <= now_s
            or len(known.waiters) >= MAX_WAITERS
        ):
            self.counts["refused"] += 1
            return False
        waiter = _Waiter(
            amount, until_s, asyncio.get_running_loop().create_future()
        )
        known.waiters.append(waiter)
        self._borrow(known, now_s)
        self._start_timer()
        admitted = await waiter.future
        if not admitted:
            self.counts["refused"] += 1
        return admitted

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Takes the limits of a newer configuration into force."""
        now_s = self._clock()
        wanted = document_limits(stored.doc)
        for name in self._limits.keys() - wanted.keys():
            gone = self._limits.pop(name)
            self._active.pop(name, None)
            for waiter in gone.waiters:
                if not waiter.future.done():
                    waiter.future.set_result(False)
        for name, (rate_per_s, burst) in wanted.items():
            known = self._limits.get(name)
            if known is None:
                self._limits[name] = _Limit(
                    name,
                    rate_per_s,
                    burst,
                    token_bucket.create(now_s),
                    token_borrowing.Borrower(now_s),
                )
            elif (known.rate_per_s, known.burst) != (rate_per_s, burst):
                known.rate_per_s = rate_per_s
                known.burst = burst
                known.units = -1
        # Takes effect now, not with the next request: a lower burst must not
        # leave the old tokens in idle buckets.
        self._apply_units(now_s)

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Takes a new view of the fleet."""
        near = []
        far = []
        for name, peer in view.live.items():
            if peer.heartbeat.region == self._me.region:
                near.append(name)
            else:
                far.append(name)
        self._region_peers = tuple(sorted(near))
        self._remote_peers = tuple(sorted(far))
        live = frozenset(view.live)
        for known in self._limits.values():
            known.borrower = token_borrowing.remove_dead_peers(
                known.borrower, live
            )

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Updates demand, borrows and serves waiting requests."""
        now_s = self._clock()
        self._check_pause(now_s)
        self._last_progress_s = now_s
        self._apply_units(now_s)
        names = list(self._active)
        if not names:
            return
        # Starting at a random limit shares the message budget fairly.
        first = self._rng.randrange(len(names))
        for name in names[first:] + names[:first]:
            known = self._active[name]
            self._serve(known, now_s)
            self._borrow(known, now_s)
            borrower = known.borrower
            if (
                not known.waiters
                and not borrower.pending
                and borrower.demand_per_s
                < IDLE_REQUESTS_PER_S * borrower.tokens_per_request
            ):
                del self._active[name]
                known.borrower = token_borrowing.Borrower(
                    now_s, tokens_per_request=borrower.tokens_per_request
                )

    def _create_message_budget(self, per_s: float) -> token_bucket.TokenBucket:
        return token_bucket.with_share(
            token_bucket.create(self._last_progress_s),
            self._last_progress_s,
            per_s,
            per_s / 2,
        )

    def _check_pause(self, now_s: float) -> None:
        if now_s - self._last_progress_s <= share_ledger.PAUSE_THRESHOLD_S:
            return
        logging.warning(
            "no progress for %.1f s; borrowed tokens dropped",
            now_s - self._last_progress_s,
        )
        self._last_progress_s = now_s
        self.counts["pauses"] += 1
        for known in self._limits.values():
            known.bucket = token_bucket.drop_borrowed(known.bucket)
            known.borrower = token_borrowing.on_pause(known.borrower, now_s)

    def _update_bucket(self, known: _Limit, now_s: float) -> None:
        """Applies a pause or a change of units before any use of tokens."""
        if now_s - self._last_progress_s > share_ledger.PAUSE_THRESHOLD_S:
            self._check_pause(now_s)
        units = self._ledger.units_at(now_s)
        if units != known.units:
            known.units = units
            part = units / ledger_lib.TOTAL_UNITS
            known.bucket = token_bucket.with_share(
                known.bucket,
                now_s,
                known.rate_per_s * part,
                known.burst * part,
            )

    def _apply_units(self, now_s: float) -> None:
        for known in self._limits.values():
            self._update_bucket(known, now_s)

    def _take(self, known: _Limit, now_s: float, amount: float) -> bool:
        self._update_bucket(known, now_s)
        known.bucket, taken = token_bucket.take(known.bucket, now_s, amount)
        return taken

    def _serve(self, known: _Limit, now_s: float) -> None:
        """Admits waiting requests in order and refuses the late ones."""
        waiters = known.waiters
        while waiters:
            waiter = waiters[0]
            if waiter.future.done():
                waiters.popleft()
            elif waiter.deadline_s <= now_s:
                waiters.popleft()
                waiter.future.set_result(False)
            elif self._take(known, now_s, waiter.amount):
                waiters.popleft()
                waiter.future.set_result(True)
            else:
                return

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                WAIT_TICK_S, self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        now_s = self._clock()
        again = False
        for known in list(self._active.values()):
            if known.waiters:
                self._serve(known, now_s)
                again = again or bool(known.waiters)
        if again:
            self._start_timer()

    def _borrow(self, known: _Limit, now_s: float) -> None:
        self._update_bucket(known, now_s)
        known.bucket = token_bucket.advance(known.bucket, now_s)
        borrower = token_borrowing.update_demand(
            known.borrower, now_s, known.requested_tokens, known.requests
        )
        if borrower is not known.borrower:
            known.requested_tokens = 0.0
            known.requests = 0
        self._ask_budget = token_bucket.advance(self._ask_budget, now_s)
        peers = len(self._region_peers) + len(self._remote_peers)
        known.borrower, asks = token_borrowing.ask_peers(
            borrower,
            known.bucket,
            now_s,
            sum([waiter.amount for waiter in known.waiters]),
            self._region_peers,
            self._remote_peers,
            known.burst / (peers + 1),
            known.rate_per_s / (peers + 1),
            int(self._ask_budget.tokens),
            self._next_id,
            self._rng.random(),
        )
        for ask in asks:
            self._ask_budget, _ = token_bucket.take(
                self._ask_budget, now_s, 1.0
            )
            self.counts["asks"] += 1
            self._link.send(
                ask.peer,
                token_ask.TokenAsk(ask.ask_id, known.name, ask.amount),
            )

    def _next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def _on_ask(self, peer: str, msg: token_ask.TokenAsk) -> None:
        known = self._limits.get(msg.limit)
        if known is None:
            return
        now_s = self._clock()
        self._grant_budget, allowed = token_bucket.take(
            self._grant_budget, now_s, 1.0
        )
        if not allowed:
            self.counts["asks_ignored"] += 1
            return
        self._update_bucket(known, now_s)
        granted = 0.0
        if not known.waiters:
            known.bucket, granted = token_borrowing.on_ask(
                known.borrower, known.bucket, now_s, msg.amount
            )
        self.counts["grants"] += 1
        self._link.send(
            peer, token_grant.TokenGrant(msg.ask_id, msg.limit, granted)
        )

    def _on_grant(self, peer: str, msg: token_grant.TokenGrant) -> None:
        known = self._limits.get(msg.limit)
        if known is None:
            return
        now_s = self._clock()
        self._update_bucket(known, now_s)
        known.borrower, known.bucket = token_borrowing.on_grant(
            known.borrower, known.bucket, now_s, peer, msg.ask_id, msg.amount
        )
        self._serve(known, now_s)

"""Enforces the rate limits of organisations and links."""

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
"""With at most 70 bytes per message, these bound the traffic of all limits to
36 messages and 2.5 KB per second. Heartbeats need the rest of the 4 KB."""

IDLE_REQUESTS_PER_S = 0.01

LINK_BURST_FRACTION = 0.25
"""Fraction of a link cap that is the burst. The rate is the rest, so that burst
plus rate stay within the cap in every window of one second."""


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    amount: float
    deadline_s: float
    future: asyncio.Future


@dataclasses.dataclass(eq=False, slots=True)
class _Limit:
    """State of one limit on this VM; mutable, owned by the task."""

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
    """Returns the rate per second and the burst of each limit, by name."""
    limits = {
        f"org:{org.name}": (org.rate_per_s, org.burst)
        for org in doc.organisations
    }
    for cap in doc.link_caps:
        link = f"link:{cap.source}:{cap.target}"
        for unit, per_s in (
            ("requests", cap.requests_per_s),
            ("bits", cap.bits_per_s),
        ):
            limits[f"{link}:{unit}"] = (
                per_s * (1.0 - LINK_BURST_FRACTION),
                per_s * LINK_BURST_FRACTION,
            )
    return limits


class LimitTask:
    """Holds this VM's share of the token bucket of each limit.

    A VM whose share runs out borrows tokens from its peers.

    Args:
        me: Identity of this process.
        link: Link to the peers.
        ledger: Source of the number of units that this VM holds.
        clock: Monotonic time in seconds, the clock of the ledger task too.
        rng: Source of random numbers.

    Attributes:
        counts: Numbers of asks, ignored asks, grants, refusals and pauses.
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
        # Ids start at random so that a grant to an earlier incarnation does not
        # match an ask of this one.
        self._last_id = self._rng.getrandbits(62)
        self._ask_budget = self._create_message_budget(MAX_ASKS_PER_S)
        self._grant_budget = self._create_message_budget(MAX_GRANTS_PER_S)
        self.counts: collections.Counter[str] = collections.Counter()
        link.register(token_ask.TokenAsk, self._on_ask)
        link.register(token_grant.TokenGrant, self._on_grant)

    def try_take(self, limit: str, amount: float) -> bool:
        """Takes tokens without waiting.

        Args:
            limit: Name of the limit. A limit that is not in the document
                admits nothing.
            amount: Tokens, 1 for a request.

        Returns:
            Whether the tokens were available.
        """
        state = self._limits.get(limit)
        if state is None:
            return False
        state.requested_tokens += amount
        state.requests += 1
        self._active[limit] = state
        if state.waiters:
            return False
        return self._take(state, self._clock(), amount)

    async def take(self, limit: str, amount: float, deadline_s: float) -> bool:
        """Takes tokens, waiting for borrowed or new ones if necessary.

        Args:
            limit: Name of the limit.
            amount: Tokens, 1 for a request.
            deadline_s: Monotonic time at which to stop waiting. The wait is
                limited to ``MAX_WAIT_S`` in any case.

        Returns:
            Whether the tokens were taken.
        """
        if self.try_take(limit, amount):
            return True
        return await self.wait(limit, amount, deadline_s)

    async def wait(self, limit: str, amount: float, deadline_s: float) -> bool:
        """Waits for tokens after ``try_take`` has failed.

        Unlike ``take``, it does not count the request's demand again. The
        arguments and the result are those of ``take``.
        """
        state = self._limits.get(limit)
        now_s = self._clock()
        end_s = min(deadline_s, now_s + MAX_WAIT_S)
        if state is None or end_s <= now_s or len(state.waiters) >= MAX_WAITERS:
            self.counts["refused"] += 1
            return False
        waiter = _Waiter(
            amount, end_s, asyncio.get_running_loop().create_future()
        )
        state.waiters.append(waiter)
        self._borrow(state, now_s)
        self._start_timer()
        admitted = await waiter.future
        if not admitted:
            self.counts["refused"] += 1
        return admitted

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Applies the limits of a newer configuration."""
        now_s = self._clock()
        limits = document_limits(stored.doc)
        for name in self._limits.keys() - limits.keys():
            removed = self._limits.pop(name)
            self._active.pop(name, None)
            for waiter in removed.waiters:
                if not waiter.future.done():
                    waiter.future.set_result(False)
        for name, (rate_per_s, burst) in limits.items():
            state = self._limits.get(name)
            if state is None:
                self._limits[name] = _Limit(
                    name,
                    rate_per_s,
                    burst,
                    token_bucket.create(now_s),
                    token_borrowing.Borrower(now_s),
                )
            elif (state.rate_per_s, state.burst) != (rate_per_s, burst):
                state.rate_per_s = rate_per_s
                state.burst = burst
                state.units = -1
        # Applied now, not with the next request, so that idle buckets do not
        # keep the tokens of a burst that was larger.
        self._apply_units(now_s)

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Updates the peers to borrow from."""
        region_peers = []
        remote_peers = []
        for name, peer in view.live.items():
            if peer.heartbeat.region == self._me.region:
                region_peers.append(name)
            else:
                remote_peers.append(name)
        self._region_peers = tuple(sorted(region_peers))
        self._remote_peers = tuple(sorted(remote_peers))
        live = frozenset(view.live)
        for state in self._limits.values():
            state.borrower = token_borrowing.remove_dead_peers(
                state.borrower, live
            )

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Updates demand, borrows tokens and serves waiting requests."""
        now_s = self._clock()
        self._check_pause(now_s)
        self._last_progress_s = now_s
        self._apply_units(now_s)
        names = list(self._active)
        if not names:
            return
        # A random start shares the message budget fairly between the limits.
        first = self._rng.randrange(len(names))
        for name in names[first:] + names[:first]:
            state = self._active[name]
            self._serve(state, now_s)
            self._borrow(state, now_s)
            borrower = state.borrower
            if (
                not state.waiters
                and not borrower.pending
                and borrower.demand_per_s
                < IDLE_REQUESTS_PER_S * borrower.tokens_per_request
            ):
                del self._active[name]
                state.borrower = token_borrowing.Borrower(
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
            "no progress for %.1f s; dropped borrowed tokens",
            now_s - self._last_progress_s,
        )
        self._last_progress_s = now_s
        self.counts["pauses"] += 1
        for state in self._limits.values():
            state.bucket = token_bucket.drop_borrowed(state.bucket)
            state.borrower = token_borrowing.on_pause(state.borrower, now_s)

    def _update_bucket(self, state: _Limit, now_s: float) -> None:
        """Applies a pause or a change of units before tokens are used."""
        if now_s - self._last_progress_s > share_ledger.PAUSE_THRESHOLD_S:
            self._check_pause(now_s)
        units = self._ledger.units_at(now_s)
        if units != state.units:
            state.units = units
            share = units / ledger_lib.TOTAL_UNITS
            state.bucket = token_bucket.with_share(
                state.bucket,
                now_s,
                state.rate_per_s * share,
                state.burst * share,
            )

    def _apply_units(self, now_s: float) -> None:
        for state in self._limits.values():
            self._update_bucket(state, now_s)

    def _take(self, state: _Limit, now_s: float, amount: float) -> bool:
        self._update_bucket(state, now_s)
        state.bucket, taken = token_bucket.take(state.bucket, now_s, amount)
        return taken

    def _serve(self, state: _Limit, now_s: float) -> None:
        """Admits waiting requests in order and refuses the expired ones."""
        waiters = state.waiters
        while waiters:
            waiter = waiters[0]
            if waiter.future.done():
                waiters.popleft()
            elif waiter.deadline_s <= now_s:
                waiters.popleft()
                waiter.future.set_result(False)
            elif self._take(state, now_s, waiter.amount):
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
        has_waiters = False
        for state in list(self._active.values()):
            if state.waiters:
                self._serve(state, now_s)
                has_waiters = has_waiters or bool(state.waiters)
        if has_waiters:
            self._start_timer()

    def _borrow(self, state: _Limit, now_s: float) -> None:
        self._update_bucket(state, now_s)
        state.bucket = token_bucket.advance(state.bucket, now_s)
        borrower = token_borrowing.update_demand(
            state.borrower, now_s, state.requested_tokens, state.requests
        )
        if borrower is not state.borrower:
            state.requested_tokens = 0.0
            state.requests = 0
        self._ask_budget = token_bucket.advance(self._ask_budget, now_s)
        peers = len(self._region_peers) + len(self._remote_peers)
        state.borrower, asks = token_borrowing.ask_peers(
            borrower,
            state.bucket,
            now_s,
            sum([waiter.amount for waiter in state.waiters]),
            self._region_peers,
            self._remote_peers,
            state.burst / (peers + 1),
            state.rate_per_s / (peers + 1),
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
                token_ask.TokenAsk(ask.ask_id, state.name, ask.amount),
            )

    def _next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def _on_ask(self, peer: str, msg: token_ask.TokenAsk) -> None:
        state = self._limits.get(msg.limit)
        if state is None:
            return
        now_s = self._clock()
        self._grant_budget, allowed = token_bucket.take(
            self._grant_budget, now_s, 1.0
        )
        if not allowed:
            self.counts["asks_ignored"] += 1
            return
        self._update_bucket(state, now_s)
        granted = 0.0
        if not state.waiters:
            state.bucket, granted = token_borrowing.on_ask(
                state.borrower, state.bucket, now_s, msg.amount
            )
        self.counts["grants"] += 1
        self._link.send(
            peer, token_grant.TokenGrant(msg.ask_id, msg.limit, granted)
        )

    def _on_grant(self, peer: str, msg: token_grant.TokenGrant) -> None:
        state = self._limits.get(msg.limit)
        if state is None:
            return
        now_s = self._clock()
        self._update_bucket(state, now_s)
        state.borrower, state.bucket = token_borrowing.on_grant(
            state.borrower, state.bucket, now_s, peer, msg.ask_id, msg.amount
        )
        self._serve(state, now_s)

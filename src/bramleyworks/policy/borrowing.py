"""When to ask which peer for tokens of one limit, and how many to lend.

Peers are asked in the order of least recent use, nearest first among equals
and for requests that wait. Nobody knows the peers' levels, so the load of
lending is spread evenly over all of them; a peer that gave less than asked, or
did not answer, rests for a time that doubles with each failure. Asking the
peer that gave most last time would drain its bucket, since its capacity stays
lowered for a second.
"""

import dataclasses
import math
from collections.abc import Callable
from collections.abc import Sequence

from bramleyworks.policy import token_bucket

HORIZON_S = 0.5
"""Time ahead for which tokens should suffice; covers the interval between
asks and a round trip between regions (70 ms)."""

DEMAND_TAU_S = 1.0
SPREAD = 2.0
"""Standard deviations of the number of requests to hold tokens for."""

ASKS_PER_S = 5.0
ASKS_BURST = 3.0
PARALLEL_ASKS = 3
ANSWER_S = 0.3
REST_S = 0.25
REST_MAX_S = 4.0
LENDER_KEEP_MAX = 0.5
"""Largest part of its capacity that a lender keeps for itself."""

MIN_ASK_PART = 0.25
"""Smallest ask, in requests: a smaller one is not worth a message."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """What the borrower remembers of one peer.

    Attributes:
        asked_s: When it was last asked.
        ready_s: When it may be asked again.
        rest_s: Length of the last rest, 0 after a full grant.
    """

    asked_s: float = -math.inf
    ready_s: float = -math.inf
    rest_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """An ask without an answer yet.

    Attributes:
        ask_id: Identifies the answer.
        peer: Name of the peer asked.
        amount: Tokens asked for.
        sent_s: Time read before the ask was sent.
    """

    ask_id: int
    peer: str
    amount: float
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Borrower:
    """The borrowing state of one limit.

    Attributes:
        at_s: Time of the last tick.
        demand_per_s: Smoothed tokens wanted per second.
        size: Smoothed tokens per request.
        budget: Asks that may be sent now.
        pending: Asks without an answer, oldest first.
        peers: What is known of each peer that was asked, by name.
    """

    at_s: float
    demand_per_s: float = 0.0
    size: float = 1.0
    budget: float = ASKS_BURST
    pending: tuple[Ask, ...] = ()
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)


def spread(borrower: Borrower, seconds: float) -> float:
    """Returns by how many tokens the demand may exceed its mean."""
    return SPREAD * math.sqrt(borrower.demand_per_s * seconds * borrower.size)


def observe(
    borrower: Borrower, now_s: float, wanted: float, requests: int
) -> Borrower:
    """Takes the demand since the last tick.

    Args:
        borrower: State before.
        now_s: Time now.
        wanted: Tokens that requests wanted, admitted or not.
        requests: Number of these requests.
    """
    seconds = now_s - borrower.at_s
    if seconds <= 0.0:
        return borrower
    weight = 1.0 - math.exp(-seconds / DEMAND_TAU_S)
    demand = borrower.demand_per_s
    demand += weight * (wanted / seconds - demand)
    size = borrower.size
    if requests:
        size += min(1.0, 0.1 * requests) * (wanted / requests - size)
    pending = borrower.pending
    peers = borrower.peers
    if pending and pending[0].sent_s + ANSWER_S <= now_s:
        late = [ask for ask in pending if ask.sent_s + ANSWER_S <= now_s]
        peers = dict(peers)
        for ask in late:
            known = peers.get(ask.peer, Peer())
            if known.ready_s == math.inf and known.asked_s == ask.sent_s:
                peers[ask.peer] = _rested(known, now_s)
        pending = tuple(
            [ask for ask in pending if ask.sent_s + token_bucket.LOAN_S > now_s]
        )
    return dataclasses.replace(
        borrower,
        at_s=now_s,
        demand_per_s=demand,
        size=size,
        budget=min(ASKS_BURST, borrower.budget + ASKS_PER_S * seconds),
        pending=pending,
        peers=peers,
    )


def _rested(known: Peer, now_s: float) -> Peer:
    rest_s = min(REST_MAX_S, max(REST_S, 2 * known.rest_s))
    return Peer(known.asked_s, now_s + rest_s, rest_s)


def shortage(
    borrower: Borrower,
    bucket: token_bucket.TokenBucket,
    now_s: float,
    waiting: float,
) -> float:
    """Returns how many tokens will be missing within the horizon.

    Args:
        borrower: Demand and pending asks.
        bucket: The bucket, filled up to now.
        now_s: Time now.
        waiting: Tokens that waiting requests want.
    """
    expected = bucket.tokens + bucket.rate_per_s * HORIZON_S
    for expires_s, amount in bucket.borrowed:
        left_s = expires_s - now_s
        expected += min(amount, borrower.demand_per_s * left_s)
    for ask in borrower.pending:
        if ask.sent_s + ANSWER_S > now_s:
            expected += ask.amount
    wanted = borrower.demand_per_s * HORIZON_S + spread(borrower, HORIZON_S)
    return waiting + wanted - expected


def ask_peers(
    borrower: Borrower,
    bucket: token_bucket.TokenBucket,
    now_s: float,
    waiting: float,
    near: Sequence[str],
    far: Sequence[str],
    peer_capacity: float,
    allowed: int,
    next_id: Callable[[], int],
    rnd: float,
) -> tuple[Borrower, tuple[Ask, ...]]:
    """Decides which peers to ask now.

    Args:
        borrower: State after ``observe``.
        bucket: The bucket, filled up to now.
        now_s: Time now.
        waiting: Tokens that waiting requests want, 0 for none.
        near: Live peers of the same region.
        far: Other live peers.
        peer_capacity: Capacity of an average peer's bucket.
        allowed: Asks that the VM may still send now for all limits.
        next_id: Returns a new ask id.
        rnd: Random number in [0, 1) that spreads first asks over the peers.

    Returns:
        The state afterwards and the asks to send.
    """
    count = min(int(borrower.budget), allowed, PARALLEL_ASKS)
    if count <= 0:
        return borrower, ()
    missing = shortage(borrower, bucket, now_s, waiting)
    if missing < MIN_ASK_PART * borrower.size:
        return borrower, ()
    ranked = []
    for distance, names in ((0, near), (1, far)):
        offset = int(rnd * len(names))
        for index, name in enumerate(names):
            known = borrower.peers.get(name)
            if known is None:
                known = Peer()
            elif known.ready_s > now_s:
                continue
            place = distance if waiting else 0
            order = (index - offset) % len(names)
            ranked.append((place, known.asked_s, distance, order, name))
    if not ranked:
        return borrower, ()
    ranked.sort()
    useful = max(0.5 * peer_capacity, MIN_ASK_PART * borrower.size)
    count = min(count, len(ranked), max(1, math.ceil(missing / useful)))
    asks = tuple(
        [
            Ask(next_id(), entry[-1], missing / count, now_s)
            for entry in ranked[:count]
        ]
    )
    peers = dict(borrower.peers)
    for ask in asks:
        known = peers.get(ask.peer, Peer())
        peers[ask.peer] = Peer(now_s, math.inf, known.rest_s)
    return (
        dataclasses.replace(
            borrower,
            budget=borrower.budget - count,
            pending=borrower.pending + asks,
            peers=peers,
        ),
        asks,
    )


def on_grant(
    borrower: Borrower,
    bucket: token_bucket.TokenBucket,
    now_s: float,
    peer: str,
    ask_id: int,
    amount: float,
) -> tuple[Borrower, token_bucket.TokenBucket]:
    """Takes an answer; each ask's answer counts once.

    An answer from another peer than the one asked, or one that grants more
    than was asked, does not come from a correct lender and is ignored.
    """
    for ask in borrower.pending:
        if ask.ask_id == ask_id:
            break
    else:
        return borrower, bucket
    if ask.peer != peer or not 0.0 <= amount <= ask.amount:
        return borrower, bucket
    known = borrower.peers.get(peer, Peer())
    if amount < 0.5 * ask.amount:
        known = _rested(known, now_s)
    else:
        known = Peer(known.asked_s, now_s, 0.0)
    borrower = dataclasses.replace(
        borrower,
        pending=tuple([other for other in borrower.pending if other != ask]),
        peers={**borrower.peers, peer: known},
    )
    return borrower, token_bucket.receive(
        bucket, now_s, amount, ask.sent_s + token_bucket.LOAN_S
    )


def on_ask(
    borrower: Borrower,
    bucket: token_bucket.TokenBucket,
    now_s: float,
    amount: float,
) -> tuple[token_bucket.TokenBucket, float]:
    """Decides how many tokens to lend and takes them from the bucket.

    The lender keeps what it expects to need during the loan, but at most
    ``LENDER_KEEP_MAX`` of its capacity, and nothing if its capacity is below
    the size of one request: then only tokens collected on one VM are of use.

    Args:
        borrower: The lender's own demand.
        bucket: The lender's bucket.
        now_s: Time now.
        amount: Tokens asked for.

    Returns:
        The bucket afterwards and the tokens lent.
    """
    if not 0.0 < amount < math.inf:
        return bucket, 0.0
    if bucket.capacity < borrower.size:
        reserve = 0.0
    else:
        reserve = max(
            0.0, borrower.demand_per_s - bucket.rate_per_s
        ) * token_bucket.LEND_HOLD_S + spread(
            borrower, token_bucket.LEND_HOLD_S
        )
        reserve = min(reserve, LENDER_KEEP_MAX * bucket.capacity)
    return token_bucket.lend(bucket, now_s, amount, reserve)


def on_pause(borrower: Borrower, now_s: float) -> Borrower:
    """Forgets asks and demand after a gap in time."""
    return Borrower(now_s, size=borrower.size)


def forget_peers(borrower: Borrower, live: frozenset[str]) -> Borrower:
    """Forgets peers that are no longer live, so the state stays bounded."""
    if borrower.peers.keys() <= live:
        return borrower
    return dataclasses.replace(
        borrower,
        peers={
            name: known
            for name, known in borrower.peers.items()
            if name in live
        },
    )

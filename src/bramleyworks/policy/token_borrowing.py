"""Token borrowing between the VMs that share one rate limit.

The token levels of peers are unknown. The borrower estimates from each grant
how many tokens per second a peer can spare, and asks the peers with the most
estimated spare tokens. Round robin would waste half of the asks when a few VMs
carry the load, because these have nothing to lend to each other. A peer that
does not respond is not asked for a backoff that doubles with each timeout.
While requests wait, a peer of the same region is asked first if it should have
enough tokens.
"""

import dataclasses
import math
from collections.abc import Callable
from collections.abc import Sequence

from bramleyworks.policy import token_bucket

HORIZON_S = 0.5
"""Time ahead for which tokens should suffice. It covers the interval between
asks and a round trip between regions (70 ms)."""

URGENT_HORIZON_S = 0.1
"""Time within which a waiting request needs its tokens; a request waits up to
0.15 s, of which a response from another region takes 0.07 s."""

REFILL_HORIZON_S = 0.9
"""Time ahead to ask for once tokens will not suffice for ``HORIZON_S``. Tokens
for more time would expire unused."""

DEMAND_TIME_CONSTANT_S = 1.0
BORROWER_DEVIATIONS = 1.5
LENDER_DEVIATIONS = 1.0
"""Standard deviations above the mean demand for which a VM keeps tokens."""

ASKS_PER_S = 6.0
ASKS_BURST = 6.0
MAX_PARALLEL_ASKS = 3
RESPONSE_TIMEOUT_S = 0.3
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
SURPLUS_EWMA_WEIGHT = 0.3
"""Weight of one grant in the moving average of a peer's surplus."""

INITIAL_SPARE_FRACTION = 1.0
"""Fraction of its capacity that a peer not yet asked is expected to lend."""

MIN_SURPLUS_FRACTION = 0.05
"""Fraction of its rate that every peer is expected to spare at least, so that a
peer that had no tokens is asked again later."""

MAX_RESERVE_FRACTION = 0.5
"""Largest fraction of its capacity that a lender keeps for itself."""

MIN_ASK_REQUESTS = 0.5
"""Smallest amount to ask for, in requests; less is not worth a message."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEstimate:
    """What the borrower knows of one peer.

    Attributes:
        asked_s: Time at which it was last asked.
        next_ask_s: Time from which it may be asked again, ``inf`` while an ask
            is pending.
        backoff_s: Last backoff in seconds, 0 after a grant.
        remaining: Estimated spare tokens that it kept after the last grant.
        surplus_per_s: Estimated tokens per second that it can spare.
        lent: Tokens of its last grant, which its bucket lacks for a while.
    """

    asked_s: float
    next_ask_s: float
    backoff_s: float
    remaining: float
    surplus_per_s: float
    lent: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request for tokens that was sent to a peer, without a response yet.

    Attributes:
        ask_id: Identifies the response.
        peer: Name of the peer asked.
        amount: Tokens asked for.
        sent_s: Time just before the ask was sent.
        elapsed_s: Seconds since the previous ask to the peer.
    """

    ask_id: int
    peer: str
    amount: float
    sent_s: float
    elapsed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Borrower:
    """The borrowing state of one limit.

    Attributes:
        at_s: Time of the last update.
        demand_per_s: Moving average of the tokens wanted per second.
        tokens_per_request: Moving average of the tokens per request.
        budget: Number of asks that may be sent now.
        pending: Asks without a response, oldest first.
        peers: Estimates of the peers that were asked, by name.
    """

    at_s: float
    demand_per_s: float = 0.0
    tokens_per_request: float = 1.0
    budget: float = ASKS_BURST
    pending: tuple[Ask, ...] = ()
    peers: dict[str, PeerEstimate] = dataclasses.field(default_factory=dict)


def demand_deviation(borrower: Borrower, seconds: float) -> float:
    """Returns the standard deviation of the tokens wanted in some seconds."""
    return math.sqrt(
        borrower.demand_per_s * seconds * borrower.tokens_per_request
    )


def update_demand(
    borrower: Borrower, now_s: float, wanted: float, requests: int
) -> Borrower:
    """Updates the demand, the ask budget and the timeouts of pending asks.

    Args:
        borrower: State before.
        now_s: Time now.
        wanted: Tokens wanted by requests since the last update, admitted or
            not.
        requests: Number of these requests.
    """
    seconds = now_s - borrower.at_s
    if seconds <= 0.0:
        return borrower
    weight = 1.0 - math.exp(-seconds / DEMAND_TIME_CONSTANT_S)
    demand = borrower.demand_per_s
    demand += weight * (wanted / seconds - demand)
    size = borrower.tokens_per_request
    if requests:
        size += min(1.0, 0.1 * requests) * (wanted / requests - size)
    pending = borrower.pending
    peers = borrower.peers
    if pending and pending[0].sent_s + RESPONSE_TIMEOUT_S <= now_s:
        timed_out = [
            ask for ask in pending if ask.sent_s + RESPONSE_TIMEOUT_S <= now_s
        ]
        peers = dict(peers)
        for ask in timed_out:
            estimate = peers.get(ask.peer)
            if estimate and (estimate.next_ask_s, estimate.asked_s) == (
                math.inf,
                ask.sent_s,
            ):
                peers[ask.peer] = _after_timeout(estimate, now_s)
        pending = tuple(
            [
                ask
                for ask in pending
                if ask.sent_s + token_bucket.LOAN_LIFETIME_S > now_s
            ]
        )
    return dataclasses.replace(
        borrower,
        at_s=now_s,
        demand_per_s=demand,
        tokens_per_request=size,
        budget=min(ASKS_BURST, borrower.budget + ASKS_PER_S * seconds),
        pending=pending,
        peers=peers,
    )


def _after_timeout(estimate: PeerEstimate, now_s: float) -> PeerEstimate:
    backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * estimate.backoff_s))
    return dataclasses.replace(
        estimate,
        next_ask_s=now_s + backoff_s,
        backoff_s=backoff_s,
        remaining=0.0,
    )


def _expected_spare(
    estimate: PeerEstimate, now_s: float, capacity: float, rate_per_s: float
) -> float:
    """Estimates how many tokens a peer can spare by now."""
    surplus_per_s = min(
        rate_per_s,
        max(estimate.surplus_per_s, MIN_SURPLUS_FRACTION * rate_per_s),
    )
    passed_s = now_s - estimate.asked_s
    hold_s = min(passed_s, token_bucket.LENDER_HOLD_S)
    spare = min(
        capacity - estimate.lent, estimate.remaining + surplus_per_s * hold_s
    )
    return min(capacity, spare + surplus_per_s * (passed_s - hold_s))


def _after_grant(
    estimate: PeerEstimate, ask: Ask, now_s: float, amount: float
) -> PeerEstimate:
    """Updates the estimate of a peer with the amount that it granted."""
    per_s = amount / max(ask.elapsed_s, token_bucket.LOAN_LIFETIME_S)
    if amount >= ask.amount:
        return dataclasses.replace(
            estimate,
            next_ask_s=now_s,
            backoff_s=0.0,
            remaining=0.5 * amount,
            surplus_per_s=max(estimate.surplus_per_s, per_s),
            lent=amount,
        )
    return dataclasses.replace(
        estimate,
        # A lender that responds with no tokens may have some soon, so its
        # backoff does not grow.
        next_ask_s=now_s if amount > 0.0 else now_s + MIN_BACKOFF_S,
        backoff_s=0.0,
        remaining=0.0,
        surplus_per_s=(
            estimate.surplus_per_s
            + SURPLUS_EWMA_WEIGHT * (per_s - estimate.surplus_per_s)
        ),
        lent=amount,
    )


def shortage(
    borrower: Borrower,
    bucket: token_bucket.TokenBucket,
    now_s: float,
    waiting: float,
    horizon_s: float,
) -> float:
    """Returns how many tokens will be missing within a horizon.

    Args:
        borrower: State with the demand and the pending asks.
        bucket: The bucket, refilled up to now.
        now_s: Time now.
        waiting: Tokens that waiting requests want.
        horizon_s: Time ahead in seconds.
    """
    expected = bucket.tokens + bucket.rate_per_s * horizon_s
    for expires_s, amount in bucket.borrowed:
        left_s = expires_s - now_s
        expected += min(amount, borrower.demand_per_s * left_s)
    for ask in borrower.pending:
        if ask.sent_s + RESPONSE_TIMEOUT_S > now_s:
            expected += ask.amount
    wanted = borrower.demand_per_s * horizon_s
    wanted += BORROWER_DEVIATIONS * demand_deviation(borrower, horizon_s)
    return waiting + wanted - expected


def ask_peers(
    borrower: Borrower,
    bucket: token_bucket.TokenBucket,
    now_s: float,
    waiting: float,
    same_region: Sequence[str],
    other_regions: Sequence[str],
    peer_capacity: float,
    peer_rate_per_s: float,
    max_asks: int,
    next_id: Callable[[], int],
    rnd: float,
) -> tuple[Borrower, tuple[Ask, ...]]:
    """Decides which peers to ask now.

    Args:
        borrower: State after ``update_demand``.
        bucket: The bucket, refilled up to now.
        now_s: Time now.
        waiting: Tokens that waiting requests want, 0 for none.
        same_region: Live peers of the same region.
        other_regions: Other live peers.
        peer_capacity: Capacity of an average peer's bucket.
        peer_rate_per_s: Rate of an average peer's bucket.
        max_asks: Asks that the VM may still send now for all limits.
        next_id: Returns a new ask id.
        rnd: Random number in [0, 1) that spreads first asks over the peers.

    Returns:
        The state afterwards and the asks to send.
    """
    count = min(int(borrower.budget), max_asks, MAX_PARALLEL_ASKS)
    if count <= 0:
        return borrower, ()
    missing = shortage(borrower, bucket, now_s, waiting, HORIZON_S)
    if waiting:
        missing = max(
            missing,
            shortage(borrower, bucket, now_s, waiting, URGENT_HORIZON_S),
        )
    if missing < MIN_ASK_REQUESTS * borrower.tokens_per_request:
        return borrower, ()
    missing = max(
        missing, shortage(borrower, bucket, now_s, waiting, REFILL_HORIZON_S)
    )
    ranked = []
    for is_remote, names in ((False, same_region), (True, other_regions)):
        offset = int(rnd * len(names))
        for index, name in enumerate(names):
            estimate = borrower.peers.get(name)
            if estimate is None:
                spare = INITIAL_SPARE_FRACTION * peer_capacity
            elif estimate.next_ask_s > now_s:
                continue
            else:
                spare = _expected_spare(
                    estimate, now_s, peer_capacity, peer_rate_per_s
                )
            ranked.append(
                (
                    not waiting or is_remote or spare < missing,
                    -spare,
                    (index - offset) % len(names),
                    name,
                )
            )
    ranked.sort()
    chosen = []
    spare = 0.0
    for _, negative_spare, _, name in ranked[:count]:
        if spare >= missing:
            break
        chosen.append(name)
        spare -= negative_spare
    if not chosen:
        return borrower, ()
    asks = []
    for name in chosen:
        estimate = borrower.peers.get(name)
        elapsed_s = (
            now_s - estimate.asked_s
            if estimate
            else token_bucket.LOAN_LIFETIME_S
        )
        asks.append(
            Ask(next_id(), name, missing / len(chosen), now_s, elapsed_s)
        )
    peers = dict(borrower.peers)
    for ask in asks:
        estimate = peers.get(ask.peer)
        if estimate is None:
            estimate = PeerEstimate(now_s, math.inf, 0.0, 0.0, peer_rate_per_s)
        peers[ask.peer] = dataclasses.replace(
            estimate, asked_s=now_s, next_ask_s=math.inf
        )
    return (
        dataclasses.replace(
            borrower,
            budget=borrower.budget - len(asks),
            pending=(*borrower.pending, *asks),
            peers=peers,
        ),
        tuple(asks),
    )


def on_grant(
    borrower: Borrower,
    bucket: token_bucket.TokenBucket,
    now_s: float,
    peer: str,
    ask_id: int,
    amount: float,
) -> tuple[Borrower, token_bucket.TokenBucket]:
    """Handles a response; only the first one to each ask counts.

    A response from another peer than the one asked, or one that grants more
    than was asked for, is invalid and is ignored.
    """
    for ask in borrower.pending:
        if ask.ask_id == ask_id:
            break
    else:
        return borrower, bucket
    if ask.peer != peer or not 0.0 <= amount <= ask.amount:
        return borrower, bucket
    estimate = borrower.peers.get(peer)
    peers = borrower.peers
    if estimate is not None:
        peers = {**peers, peer: _after_grant(estimate, ask, now_s, amount)}
    borrower = dataclasses.replace(
        borrower,
        pending=tuple([other for other in borrower.pending if other != ask]),
        peers=peers,
    )
    return borrower, token_bucket.add_borrowed(
        bucket, now_s, amount, ask.sent_s + token_bucket.LOAN_LIFETIME_S
    )


def on_ask(
    borrower: Borrower,
    bucket: token_bucket.TokenBucket,
    now_s: float,
    amount: float,
) -> tuple[token_bucket.TokenBucket, float]:
    """Decides how many tokens to lend for an ask and removes them.

    The lender keeps what it expects to need during the loan, but at most
    ``MAX_RESERVE_FRACTION`` of its capacity, and nothing if its capacity is
    below the tokens of one request: then no request can run unless one VM
    collects the tokens of several.

    Args:
        borrower: State of the lender, with its own demand.
        bucket: The lender's bucket.
        now_s: Time now.
        amount: Tokens asked for.

    Returns:
        The bucket afterwards and the tokens lent.
    """
    if not 0.0 < amount < math.inf:
        return bucket, 0.0
    if bucket.capacity < borrower.tokens_per_request:
        reserve = 0.0
    else:
        reserve = LENDER_DEVIATIONS * demand_deviation(
            borrower, token_bucket.LENDER_HOLD_S
        )
        reserve += token_bucket.LENDER_HOLD_S * max(
            0.0, borrower.demand_per_s - bucket.rate_per_s
        )
        reserve = min(reserve, MAX_RESERVE_FRACTION * bucket.capacity)
    return token_bucket.lend(bucket, now_s, amount, reserve)


def on_pause(borrower: Borrower, now_s: float) -> Borrower:
    """Drops the pending asks, the estimates and the demand after a pause."""
    return Borrower(now_s, tokens_per_request=borrower.tokens_per_request)


def remove_dead_peers(borrower: Borrower, live: frozenset[str]) -> Borrower:
    """Removes peers that are no longer live, to bound the state."""
    if borrower.peers.keys() <= live:
        return borrower
    return dataclasses.replace(
        borrower,
        peers={
            name: estimate
            for name, estimate in borrower.peers.items()
            if name in live
        },
    )

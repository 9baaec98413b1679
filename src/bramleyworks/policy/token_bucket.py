"""The share of one limit that a VM holds, with tokens lent and borrowed.

The sum of own tokens and tokens lent out never exceeds the capacity, so all
VMs together hold at most the limit's burst as long as their capacities add up
to it. The bucket starts empty: a limit that is removed and added again, or a
VM that restarts, must not bring tokens back that were spent already.
"""

import dataclasses

LOAN_LIFETIME_S = 1.0
"""Lifetime of a borrowed token, counted from before the ask was sent."""

LENDER_HOLD_S = 1.01
"""Time for which the lender's capacity stays lowered; 1% above LOAN_LIFETIME_S
covers clocks that run at different speeds (NTP slews by at most 0.05%)."""


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBucket:
    """A token bucket at one moment.

    Attributes:
        tokens: Own tokens at ``at_s``.
        at_s: Monotonic time in seconds up to which it has been filled.
        rate_per_s: Tokens added per second.
        capacity: Most own tokens plus tokens lent.
        lent: Pairs of end time and amount of tokens lent, oldest first.
        borrowed: Pairs of expiry time and amount of tokens borrowed, the first
            to expire first.
    """

    tokens: float
    updated_s: float
    rate_per_s: float = 0.0
    capacity: float = 0.0
    lent: tuple[tuple[float, float], ...] = ()
    borrowed: tuple[tuple[float, float], ...] = ()


def create(now_s: float) -> TokenBucket:
    """Returns an empty bucket without a share."""
    return TokenBucket(0.0, now_s)


def _fill(
    tokens: float, room: float, rate_per_s: float, seconds: float
) -> float:
    filled = tokens + rate_per_s * seconds
    if filled < room:
        return filled
    return room if room > 0.0 else 0.0


def advance(bucket: TokenBucket, now_s: float) -> TokenBucket:
    """Fills the bucket up to a time and drops what has expired.

    The capacity rises again step by step as loans end. Filling to the final
    capacity in one step would give the lender tokens for a time at which the
    borrower still held them. A time in the past changes nothing.
    """
    at_s = bucket.updated_s
    if now_s <= at_s:
        return bucket
    tokens = bucket.tokens
    lent = bucket.lent
    rate_per_s = bucket.rate_per_s
    if lent:
        room = bucket.capacity - sum([amount for _, amount in lent])
        ended = 0
        for end_s, amount in lent:
            if end_s > now_s:
                break
            if end_s > at_s:
                tokens = _fill(tokens, room, rate_per_s, end_s - at_s)
                at_s = end_s
            room += amount
            ended += 1
        if ended:
            lent = lent[ended:]
        if not lent:
            room = bucket.capacity
        tokens = _fill(tokens, room, rate_per_s, now_s - at_s)
    else:
        tokens += rate_per_s * (now_s - at_s)
        if tokens > bucket.capacity:
            tokens = bucket.capacity
    borrowed = bucket.borrowed
    if borrowed and borrowed[0][0] <= now_s:
        borrowed = tuple([loan for loan in borrowed if loan[0] > now_s])
    return TokenBucket(
        tokens, now_s, rate_per_s, bucket.capacity, lent, borrowed
    )


def available(bucket: TokenBucket) -> float:
    """Returns own and borrowed tokens at the time of the last change."""
    if not bucket.borrowed:
        return bucket.tokens
    return bucket.tokens + sum([amount for _, amount in bucket.borrowed])


def take(
    bucket: TokenBucket, now_s: float, amount: float
) -> tuple[TokenBucket, bool]:
    """Takes tokens for a request, borrowed ones first as they expire.

    Returns:
        The bucket afterwards, and whether the tokens were taken; without
        enough tokens nothing is taken.
    """
    bucket = advance(bucket, now_s)
    if not bucket.borrowed:
        if bucket.tokens < amount:
            return bucket, False
        return (
            TokenBucket(
                bucket.tokens - amount,
                bucket.updated_s,
                bucket.rate_per_s,
                bucket.capacity,
                bucket.lent,
            ),
            True,
        )
    if available(bucket) < amount:
        return bucket, False
    rest = amount
    kept = []
    for expires_s, held in bucket.borrowed:
        used = min(held, rest)
        rest -= used
        if held > used:
            kept.append((expires_s, held - used))
    return (
        TokenBucket(
            max(0.0, bucket.tokens - rest),
            bucket.updated_s,
            bucket.rate_per_s,
            bucket.capacity,
            bucket.lent,
            tuple(kept),
        ),
        True,
    )


def lend(
    bucket: TokenBucket, now_s: float, amount: float, reserve: float
) -> tuple[TokenBucket, float]:
    """Takes own tokens for a peer and lowers the capacity by them.

    Args:
        bucket: The lender's bucket.
        now_s: Time now.
        amount: Tokens asked for.
        reserve: Own tokens to keep.

    Returns:
        The bucket afterwards and the tokens lent, 0 for none.
    """
    bucket = advance(bucket, now_s)
    granted = min(amount, bucket.tokens - reserve)
    if not granted > 0.0:
        return bucket, 0.0
    return (
        TokenBucket(
            bucket.tokens - granted,
            bucket.updated_s,
            bucket.rate_per_s,
            bucket.capacity,
            (*bucket.lent, (bucket.updated_s + LENDER_HOLD_S, granted)),
            bucket.borrowed,
        ),
        granted,
    )


def add_borrowed(
    bucket: TokenBucket, now_s: float, amount: float, expires_s: float
) -> TokenBucket:
    """Adds borrowed tokens; does nothing if they have expired."""
    bucket = advance(bucket, now_s)
    if expires_s <= bucket.updated_s or amount <= 0.0:
        return bucket
    return dataclasses.replace(
        bucket, borrowed=tuple(sorted((*bucket.borrowed, (expires_s, amount))))
    )


def drop_borrowed(bucket: TokenBucket) -> TokenBucket:
    """Drops all borrowed tokens, for a VM that has been paused."""
    return dataclasses.replace(bucket, borrowed=())


def with_share(
    bucket: TokenBucket, now_s: float, rate_per_s: float, capacity: float
) -> TokenBucket:
    """Changes rate and capacity from now on; never adds tokens."""
    bucket = advance(bucket, now_s)
    room = capacity - sum([amount for _, amount in bucket.lent])
    return dataclasses.replace(
        bucket,
        tokens=max(0.0, min(bucket.tokens, room)),
        rate_per_s=rate_per_s,
        capacity=capacity,
    )

"""Token bucket for a VM's share of a limit, with lending and borrowing.

A VM's own tokens plus the tokens it has lent never exceed its capacity, so all
VMs together hold at most the limit's burst as long as their capacities add up
to it. The bucket starts empty: removing and re-adding a limit or restarting a
VM must not restore tokens that were already spent.
"""

import dataclasses

LOAN_LIFETIME_S = 1.0
"""Lifetime of a borrowed token, starting before its request was sent."""

LENDER_HOLD_S = 1.01
"""Time for which the lender's capacity stays reduced. The 1% above
LOAN_LIFETIME_S covers clocks that run at different speeds (NTP slews by at most
0.05%)."""


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBucket:
    """State of a token bucket at a point in time.

    Attributes:
        tokens: Own tokens at ``updated_s``.
        updated_s: Monotonic time in seconds up to which it has been filled.
        rate_per_s: Tokens added per second.
        capacity: Maximum of own tokens plus tokens lent.
        lent: Pairs of end time and amount of tokens lent, oldest first.
        borrowed: Pairs of expiry time and amount of tokens borrowed, earliest
            expiry first.
    """

    tokens: float
    updated_s: float
    rate_per_s: float = 0.0
    capacity: float = 0.0
    lent: tuple[tuple[float, float], ...] = ()
    borrowed: tuple[tuple[float, float], ...] = ()


def create(now_s: float) -> TokenBucket:
    """Returns an empty bucket with rate and capacity 0."""
    return TokenBucket(0.0, now_s)


def _fill(
    tokens: float, limit: float, rate_per_s: float, seconds: float
) -> float:
    filled = tokens + rate_per_s * seconds
    if filled < limit:
        return filled
    return limit if limit > 0.0 else 0.0


def advance(bucket: TokenBucket, now_s: float) -> TokenBucket:
    """Fills the bucket up to a time and drops expired loans.

    The capacity is restored step by step as loans end. Filling to the final
    capacity in one step would give the lender tokens for a period in which the
    borrower still held them. A time in the past changes nothing.
    """
    at_s = bucket.updated_s
    if now_s <= at_s:
        return bucket
    tokens = bucket.tokens
    lent = bucket.lent
    rate_per_s = bucket.rate_per_s
    if lent:
        limit = bucket.capacity - sum([amount for _, amount in lent])
        ended = 0
        for end_s, amount in lent:
            if end_s > now_s:
                break
            if end_s > at_s:
                tokens = _fill(tokens, limit, rate_per_s, end_s - at_s)
                at_s = end_s
            limit += amount
            ended += 1
        if ended:
            lent = lent[ended:]
        if not lent:
            limit = bucket.capacity
        tokens = _fill(tokens, limit, rate_per_s, now_s - at_s)
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
    """Returns own plus borrowed tokens at the time of the last update."""
    if not bucket.borrowed:
        return bucket.tokens
    return bucket.tokens + sum([amount for _, amount in bucket.borrowed])


def take(
    bucket: TokenBucket, now_s: float, amount: float
) -> tuple[TokenBucket, bool]:
    """Takes tokens for a request, borrowed ones first because they expire.

    Args:
        bucket: Bucket to take from.
        now_s: Monotonic time in seconds.
        amount: Number of tokens to take.

    Returns:
        The bucket afterwards and whether the tokens were taken; without enough
        tokens none are taken.
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
    remaining = amount
    kept = []
    for expires_s, held in bucket.borrowed:
        used = min(held, remaining)
        remaining -= used
        if held > used:
            kept.append((expires_s, held - used))
    return (
        TokenBucket(
            max(0.0, bucket.tokens - remaining),
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
    """Lends own tokens to a peer and reduces the capacity by them.

    Args:
        bucket: The lender's bucket.
        now_s: Monotonic time in seconds.
        amount: Number of tokens requested.
        reserve: Number of own tokens to keep.

    Returns:
        The bucket afterwards and the number of tokens lent, 0 for none.
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
    """Adds borrowed tokens; does nothing if they have expired.

    Args:
        bucket: The borrower's bucket.
        now_s: Monotonic time in seconds.
        amount: Number of tokens borrowed.
        expires_s: Monotonic time at which they expire.
    """
    bucket = advance(bucket, now_s)
    if expires_s <= bucket.updated_s or amount <= 0.0:
        return bucket
    return dataclasses.replace(
        bucket, borrowed=tuple(sorted((*bucket.borrowed, (expires_s, amount))))
    )


def drop_borrowed(bucket: TokenBucket) -> TokenBucket:
    """Drops all borrowed tokens, for use after the VM was paused."""
    return dataclasses.replace(bucket, borrowed=())


def with_share(
    bucket: TokenBucket, now_s: float, rate_per_s: float, capacity: float
) -> TokenBucket:
    """Changes the rate and capacity from now on; never adds tokens."""
    bucket = advance(bucket, now_s)
    limit = capacity - sum([amount for _, amount in bucket.lent])
    return dataclasses.replace(
        bucket,
        tokens=max(0.0, min(bucket.tokens, limit)),
        rate_per_s=rate_per_s,
        capacity=capacity,
    )

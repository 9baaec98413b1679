"""Guards against tokens counted twice and against floods of asks."""

import itertools
import math

import pytest

from bramleyworks.policy import token_borrowing
from bramleyworks.policy import token_bucket

PEERS = tuple(f"vm{index}" for index in range(9))


def short_of(demand_per_s=20.0, tokens=0.0, now_s=10.0):
    """Returns a borrower and its bucket, which lacks tokens."""
    borrower = token_borrowing.Borrower(now_s, demand_per_s=demand_per_s)
    bucket = token_bucket.TokenBucket(tokens, now_s, 5.0, 10.0)
    return borrower, bucket


def ask(borrower, bucket, now_s=10.0, waiting=0.0, near=PEERS, far=()):
    ids = itertools.count(1)
    return token_borrowing.ask_peers(
        borrower,
        bucket,
        now_s,
        waiting,
        near,
        far,
        10.0,
        5.0,
        99,
        ids.__next__,
        0.3,
    )


def test_repeated_and_misdirected_grants_count_once():
    borrower, bucket = short_of()
    borrower, asks = ask(borrower, bucket)
    first = asks[0]
    grant = (first.peer, first.ask_id, first.amount)
    after, richer = token_borrowing.on_grant(borrower, bucket, 10.1, *grant)
    assert token_bucket.available(richer) > first.amount
    again, same = token_borrowing.on_grant(after, richer, 10.1, *grant)
    assert same == richer
    for peer, ask_id, amount in (
        ("other", first.ask_id, 1.0),
        (first.peer, 999, 1.0),
        (first.peer, first.ask_id, first.amount + 1.0),
        (first.peer, first.ask_id, -1.0),
        (first.peer, first.ask_id, math.nan),
    ):
        _, same = token_borrowing.on_grant(
            borrower, bucket, 10.1, peer, ask_id, amount
        )
        assert same == bucket


def test_loan_expires_a_second_after_the_ask_not_after_the_grant():
    borrower, bucket = short_of()
    borrower, asks = ask(borrower, bucket)
    _, bucket = token_borrowing.on_grant(
        borrower, bucket, 10.9, asks[0].peer, asks[0].ask_id, asks[0].amount
    )
    assert bucket.borrowed[0][0] == 11.0


def test_late_grant_is_dropped():
    borrower, bucket = short_of()
    borrower, asks = ask(borrower, bucket)
    _, bucket = token_borrowing.on_grant(
        borrower, bucket, 11.0, asks[0].peer, asks[0].ask_id, asks[0].amount
    )
    assert bucket.borrowed == ()


def test_no_ask_while_tokens_suffice():
    borrower, bucket = short_of(demand_per_s=4.0, tokens=10.0)
    assert ask(borrower, bucket)[1] == ()


def test_asks_per_second_are_bounded():
    borrower, bucket = short_of(demand_per_s=500.0)
    sent = 0
    for tick in range(200):
        now_s = 10.0 + tick * 0.05
        borrower = token_borrowing.update_demand(borrower, now_s, 25.0, 25)
        borrower, asks = ask(borrower, bucket, now_s, waiting=5.0)
        for one in asks:
            borrower, _ = token_borrowing.on_grant(
                borrower, bucket, now_s, one.peer, one.ask_id, one.amount
            )
        sent += len(asks)
    assert sent <= token_borrowing.ASKS_PER_S * 10 + token_borrowing.ASKS_BURST


def test_silent_peer_rests_longer_each_time():
    borrower, bucket = short_of()
    rests = []
    for tick in range(400):
        now_s = 10.0 + tick * 0.05
        borrower = token_borrowing.update_demand(borrower, now_s, 1.0, 1)
        borrower, _ = ask(borrower, bucket, now_s, near=("dead",))
        rests.append(borrower.peers["dead"].backoff_s)
    assert rests[-1] == token_borrowing.MAX_BACKOFF_S
    assert rests == sorted(rests)


def test_waiting_request_asks_the_own_region_first():
    borrower, bucket = short_of(demand_per_s=1.0)
    _, asks = ask(
        borrower, bucket, waiting=1.0, near=("near",), far=("far1", "far2")
    )
    assert asks[0].peer == "near"


@pytest.mark.parametrize("amount", [0.0, -1.0, math.nan, math.inf])
def test_senseless_ask_is_granted_nothing(amount):
    borrower, _ = short_of()
    bucket = token_bucket.TokenBucket(10.0, 10.0, 5.0, 10.0)
    assert token_borrowing.on_ask(borrower, bucket, 10.0, amount) == (
        bucket,
        0.0,
    )


def test_lender_keeps_what_it_needs_itself():
    bucket = token_bucket.TokenBucket(10.0, 10.0, 5.0, 10.0)
    busy = token_borrowing.Borrower(10.0, demand_per_s=8.0)
    idle = token_borrowing.Borrower(10.0)
    assert token_borrowing.on_ask(busy, bucket, 10.0, 99.0)[1] == 5.0
    assert token_borrowing.on_ask(idle, bucket, 10.0, 99.0)[1] == 10.0


def test_share_below_one_request_is_lent_whole():
    bucket = token_bucket.TokenBucket(0.5, 10.0, 0.5, 0.5)
    busy = token_borrowing.Borrower(10.0, demand_per_s=1.0)
    assert token_borrowing.on_ask(busy, bucket, 10.0, 1.0)[1] == 0.5


def test_pause_forgets_asks():
    borrower, bucket = short_of()
    borrower, asks = ask(borrower, bucket)
    assert asks
    assert token_borrowing.on_pause(borrower, 20.0).pending == ()

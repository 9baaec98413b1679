"""Delayed removals of upstreams around an outage of the store."""

from unittest import mock

from bramleyworks.gateway import removal_grace
from bramleyworks.platform import kv_item

GRACE_S = removal_grace.REGISTER_GRACE_S
PRESENT = kv_item.KvItem("servers/u1", b"{}", 5)
REMOVED = kv_item.KvItem("servers/u1", None, 6)
BACK = kv_item.KvItem("servers/u1", b"{}", 7)
WITHDRAWN = kv_item.KvItem("op/evacuate/one-a", None, 8)


class _Grace:
    def __init__(self):
        self.now_s = 100.0
        self.applied = []
        self.grace = removal_grace.RemovalGrace(
            self.applied.append, mock.Mock(), lambda: self.now_s
        )

    def advance(self, seconds):
        self.now_s += seconds
        self.grace.settle()


def test_expired_upstream_that_registers_again_stays_in_use():
    """Guards against live upstreams that are dropped after an outage."""
    play = _Grace()
    play.grace.start_outage()
    play.grace.apply(REMOVED)
    play.advance(0.5)
    play.grace.end_outage()
    play.grace.apply(BACK)
    play.advance(2 * GRACE_S)
    assert play.applied == [BACK]


def test_removal_takes_effect_when_the_grace_is_over():
    """Guards against an upstream that is used for good after it left."""
    play = _Grace()
    play.grace.start_outage()
    play.grace.end_outage()
    play.advance(GRACE_S - 0.1)
    play.grace.apply(REMOVED)
    assert play.grace.is_delaying
    assert play.applied == []
    play.advance(0.2)
    assert play.applied == [REMOVED]
    assert not play.grace.is_delaying


def test_removal_without_an_outage_takes_effect_at_once():
    """Guards against late removals at VMs that were never disturbed."""
    play = _Grace()
    play.grace.apply(REMOVED)
    play.grace.start_outage()
    play.grace.end_outage()
    play.advance(GRACE_S + 0.1)
    play.grace.apply(REMOVED)
    assert play.applied == [REMOVED, REMOVED]


def test_removal_during_a_long_outage_takes_effect_during_it():
    """Guards against a VM that a cut from the store keeps from removals."""
    play = _Grace()
    play.grace.start_outage()
    play.grace.apply(REMOVED)
    play.advance(GRACE_S + 0.1)
    assert play.applied == [REMOVED]


def test_only_removals_of_upstreams_are_delayed():
    """Guards against evacuations that end late."""
    play = _Grace()
    play.grace.end_outage()
    play.grace.apply(WITHDRAWN)
    play.grace.apply(PRESENT)
    assert play.applied == [WITHDRAWN, PRESENT]

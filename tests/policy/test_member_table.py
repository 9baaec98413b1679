"""Guards against stale heartbeats that pass for recent ones."""

import math

from support import heartbeats

from bramleyworks.policy import member_table


def test_duplicate_and_reordered_heartbeats_are_ignored():
    table = member_table.MemberTable("a")
    assert table.handle_heartbeat(
        heartbeats.make_heartbeat("b", sequence=2), 10.0
    )
    assert not table.handle_heartbeat(
        heartbeats.make_heartbeat("b", sequence=2), 11.0
    )
    assert not table.handle_heartbeat(
        heartbeats.make_heartbeat("b", sequence=1), 11.0
    )
    assert table.members()["b"].received_s == 10.0


def test_late_heartbeat_of_an_earlier_process_is_ignored():
    table = member_table.MemberTable("a")
    table.handle_heartbeat(
        heartbeats.make_heartbeat("b", incarnation="old", sequence=9), 10.0
    )
    assert table.handle_heartbeat(
        heartbeats.make_heartbeat("b", incarnation="new", sequence=1), 11.0
    )
    assert not table.handle_heartbeat(
        heartbeats.make_heartbeat("b", incarnation="old", sequence=10), 12.0
    )


def test_as_of_time_is_derived_from_the_echoed_heartbeat():
    table = member_table.MemberTable("a")
    table.record_sent(5, 100.0)
    # The heartbeat waited in a buffer for a minute before it was read.
    table.handle_heartbeat(
        heartbeats.make_heartbeat("b", echo=5, echo_hold_s=0.4), 160.0
    )
    assert table.members()["b"].as_of_s == 100.4


def test_as_of_time_is_unknown_without_an_echo():
    table = member_table.MemberTable("a")
    table.handle_heartbeat(heartbeats.make_heartbeat("b"), 160.0)
    assert table.members()["b"].as_of_s == -math.inf


def test_view_contains_only_members_with_a_recent_heartbeat():
    table = member_table.MemberTable("a")
    table.handle_heartbeat(heartbeats.make_heartbeat("b"), 10.0)
    table.handle_heartbeat(heartbeats.make_heartbeat("c"), 13.0)
    view = table.view(13.5, None, frozenset())
    assert set(view.live) == {"c"}

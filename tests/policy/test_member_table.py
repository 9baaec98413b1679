"""Guards against stale heartbeats that look recent."""

import math

from support import heartbeats

from bramleyworks.policy import member_table


def test_repeated_and_older_heartbeats_are_ignored():
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


def test_state_time_counts_from_our_own_sending():
    table = member_table.MemberTable("a")
    table.record_sent(5, 100.0)
    # The heartbeat lay in a buffer for a minute before it was read.
    table.handle_heartbeat(
        heartbeats.make_heartbeat("b", echo=5, echo_hold_s=0.4), 160.0
    )
    assert table.members()["b"].as_of_s == 100.4


def test_without_an_echo_nothing_is_known_about_the_time():
    table = member_table.MemberTable("a")
    table.handle_heartbeat(heartbeats.make_heartbeat("b"), 160.0)
    assert table.members()["b"].as_of_s == -math.inf


def test_view_names_only_members_heard_recently():
    table = member_table.MemberTable("a")
    table.handle_heartbeat(heartbeats.make_heartbeat("b"), 10.0)
    table.handle_heartbeat(heartbeats.make_heartbeat("c"), 13.0)
    view = table.view(13.5, None, frozenset())
    assert set(view.live) == {"c"}

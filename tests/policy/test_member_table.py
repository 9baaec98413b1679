"""Guards against stale heartbeats that look recent."""

import math

from support import beats

from bramleyworks.policy import member_table


def test_repeated_and_older_heartbeats_are_ignored():
    table = member_table.MemberTable("a")
    assert table.hear(beats.beat("b", sequence=2), 10.0)
    assert not table.hear(beats.beat("b", sequence=2), 11.0)
    assert not table.hear(beats.beat("b", sequence=1), 11.0)
    assert table.members()["b"].heard_s == 10.0


def test_late_heartbeat_of_an_earlier_process_is_ignored():
    table = member_table.MemberTable("a")
    table.hear(beats.beat("b", incarnation="old", sequence=9), 10.0)
    assert table.hear(beats.beat("b", incarnation="new", sequence=1), 11.0)
    assert not table.hear(beats.beat("b", incarnation="old", sequence=10), 12.0)


def test_state_time_counts_from_our_own_sending():
    table = member_table.MemberTable("a")
    table.note_sent(5, 100.0)
    # The heartbeat lay in a buffer for a minute before it was read.
    table.hear(beats.beat("b", echo=5, echo_hold_s=0.4), 160.0)
    assert table.members()["b"].state_s == 100.4


def test_without_an_echo_nothing_is_known_about_the_time():
    table = member_table.MemberTable("a")
    table.hear(beats.beat("b"), 160.0)
    assert table.members()["b"].state_s == -math.inf


def test_view_names_only_members_heard_recently():
    table = member_table.MemberTable("a")
    table.hear(beats.beat("b"), 10.0)
    table.hear(beats.beat("c"), 13.0)
    view = table.view(13.5, None, frozenset())
    assert set(view.live) == {"c"}

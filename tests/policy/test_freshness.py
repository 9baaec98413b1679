"""Guards against partitioned VMs that accept keys withdrawn elsewhere."""

import collections
import math
import random

import hypothesis
from hypothesis import strategies
from support import heartbeats

from bramleyworks.policy import freshness
from bramleyworks.policy import member_table

NAMES = [f"vm{i}" for i in range(5)]
LISTED = frozenset(NAMES)


def members(now_s, **versions):
    table = member_table.MemberTable("vm0")
    table.record_sent(1, now_s)
    for name, version in versions.items():
        table.handle_heartbeat(
            heartbeats.make_heartbeat(name, config_version=version, echo=1),
            now_s,
        )
    return table.members()


def confirmed(version, known, now_s, joined=True, own_read_s=-math.inf):
    return freshness.confirmed_s(
        version, own_read_s, known, LISTED, "vm0", joined, now_s
    )


def test_majority_with_the_same_version_confirms_it():
    known = members(10.0, vm1=3, vm2=3)
    assert confirmed(3, known, 10.0) == 10.0


def test_minority_does_not_confirm_a_version():
    found = confirmed(3, members(10.0, vm1=3), 10.0)
    assert not freshness.is_fresh(found, 10.0)


def test_known_newer_version_invalidates_every_confirmation():
    known = members(10.0, vm1=3, vm2=4)
    assert confirmed(3, known, 10.0, own_read_s=10.0) == -math.inf


def test_restarted_vm_does_not_count_itself():
    known = members(10.0, vm1=3, vm2=3)
    found = confirmed(3, known, 10.0, joined=False)
    assert not freshness.is_fresh(found, 10.0)


def test_restarted_peer_does_not_confirm_a_version():
    table = member_table.MemberTable("vm0")
    table.record_sent(1, 10.0)
    for name in ("vm1", "vm2"):
        table.handle_heartbeat(
            heartbeats.make_heartbeat(name, echo=1, joined=name == "vm1"), 10.0
        )
    found = confirmed(1, table.members(), 10.0)
    assert not freshness.is_fresh(found, 10.0)


def test_confirmation_expires_after_three_seconds():
    assert freshness.is_fresh(10.0, 13.0)
    assert not freshness.is_fresh(10.0, 13.1)


class Fleet:
    """Five VMs with real member tables, partitions, pauses and restarts."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.version = dict.fromkeys(NAMES, 1)
        self.joined = dict.fromkeys(NAMES, True)
        self.incarnation = dict.fromkeys(NAMES, 0)
        self.tables = {name: member_table.MemberTable(name) for name in NAMES}
        self.sequence = 0
        self.links = collections.defaultdict(collections.deque)
        self.side = dict.fromkeys(NAMES, 0)
        self.paused = None
        self.accepted_s = math.inf

    def start_phase(self):
        """Chooses a random partition and possibly a paused VM."""
        self.side = {name: self.rng.randrange(2) for name in NAMES}
        if self.rng.random() < 0.3:
            self.side = dict.fromkeys(NAMES, 0)
        self.paused = self.rng.choice([None, None, *NAMES])

    def send_heartbeats(self, name):
        self.sequence += 1
        self.tables[name].record_sent(self.sequence, self.now_s)
        for other in NAMES:
            if other == name or self.rng.random() < 0.1:
                continue
            echo, hold_s = self.tables[name].echo(other, self.now_s)
            msg = heartbeats.make_heartbeat(
                name,
                sequence=self.sequence,
                incarnation=str(self.incarnation[name]),
                config_version=self.version[name],
                joined=self.joined[name],
                echo=echo,
                echo_hold_s=hold_s,
            )
            self.links[name, other].append((self.incarnation[other], msg))

    def deliver(self, sender, receiver):
        """Delivers the oldest message of a link unless it is partitioned."""
        link = self.links[sender, receiver]
        if (
            not link
            or self.side[sender] != self.side[receiver]
            or receiver == self.paused
        ):
            return
        incarnation, msg = link.popleft()
        if self.incarnation[receiver] == incarnation:
            self.tables[receiver].handle_heartbeat(msg, self.now_s)
        self.check(receiver)

    def pull(self, name):
        """Copies the version of a reachable VM, which may be an old one."""
        source = self.rng.choice(
            [other for other in NAMES if self.side[other] == self.side[name]]
        )
        if self.paused not in (name, source):
            self.version[name] = max(self.version[name], self.version[source])

    def restart(self, name):
        # VMs restart one at a time, each after the previous one has joined, so
        # a majority keeps its state.
        if all(self.joined.values()) and name != self.paused:
            self.incarnation[name] += 1
            self.version[name] = 0
            self.joined[name] = False
            self.tables[name] = member_table.MemberTable(name)

    def record_acceptance(self):
        holders = [name for name in NAMES if self.version[name] == 2]
        if self.accepted_s == math.inf and len(holders) >= 3:
            self.accepted_s = self.now_s

    def check(self, name):
        """Asserts that a VM is not fresh on a version that was superseded."""
        if name == self.paused:
            return
        fresh = freshness.is_fresh(
            freshness.confirmed_s(
                self.version[name],
                -math.inf,
                self.tables[name].members(),
                LISTED,
                name,
                self.joined[name],
                self.now_s,
            ),
            self.now_s,
        )
        if fresh and self.now_s > self.accepted_s + freshness.MAX_FRESH_AGE_S:
            assert self.version[name] == 2
        self.joined[name] = self.joined[name] or fresh


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_no_vm_is_fresh_on_an_old_version_after_acceptance(seed):
    """Compares with an observer that knows the version of every VM.

    A version is accepted once three of five VMs have it. More than 3 s later no
    VM with an older version may count as fresh, regardless of lost or late
    heartbeats, partitions, pauses and restarts.
    """
    fleet = Fleet(seed)
    fleet.version["vm1"] = 2
    for step in range(120):
        if step % 12 == 0:
            fleet.start_phase()
        for name in NAMES:
            if name != fleet.paused:
                fleet.send_heartbeats(name)
        for _ in range(30):
            fleet.deliver(*fleet.rng.sample(NAMES, 2))
        if fleet.rng.random() < 0.3:
            fleet.restart(fleet.rng.choice(NAMES))
        for name in NAMES:
            if fleet.version[name] == 0 or fleet.rng.random() < 0.1:
                fleet.pull(name)
        fleet.record_acceptance()
        fleet.now_s += fleet.rng.choice([0.1, 0.5, 1.0])
        for name in NAMES:
            fleet.check(name)

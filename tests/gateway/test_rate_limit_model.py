"""Limits that upstreams name, kept by simulated fleets on simulated time.

Every VM has more callers than the limited upstream takes, and sends to it
whenever it may.
"""

import dataclasses
import random

import pytest

from bramleyworks.gateway import heartbeat
from bramleyworks.gateway import instance
from bramleyworks.gateway import rate_limits
from bramleyworks.gateway import vm

REGIONS = ("one", "two", "three")
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5
# Time for which an upstream bears more after it first named its limit.
CONTACT_S = 4.0
STEP_S = 0.01
RESPONSE_S = 0.15
INSTANCE = instance.Instance(
    "u1", "desk", "127.0.0.1", 1, "one-a", "v1", 4, False, 0.0, 1
)


class Fleet:
    """VMs that send to one upstream and report its limit to each other."""

    def __init__(self, size, seed, heartbeat_s=0.25):
        random.seed(seed)
        self.now_s = 100.0
        self.named = lambda now_s: None
        self.wanted = lambda now_s: True
        self.vms = {}
        self.cut = set()
        self.sent = []
        self._responses = []
        self._heartbeat_s = heartbeat_s
        self._next_reports = {}
        self._regions = {
            f"vm{n}": REGIONS[n % len(REGIONS)] for n in range(size)
        }
        for name in self._regions:
            self.start(name)

    def start(self, name):
        created = rate_limits.RateLimits(lambda: self.now_s)
        created.update_vms(name, self._regions)
        self.vms[name] = created
        self._next_reports[name] = (
            self.now_s + random.random() * self._heartbeat_s
        )

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            due = [r for r in self._responses if r[0] <= self.now_s]
            self._responses = [r for r in self._responses if r[0] > self.now_s]
            for _, name, limits, rate in due:
                if self.vms[name] is limits:
                    limits.record(INSTANCE, rate)
            for name, limits in self.vms.items():
                if self._next_reports[name] <= self.now_s:
                    self._next_reports[name] += self._heartbeat_s
                    self._report(name, limits)
                if self.wanted(self.now_s) and not limits.wait_s(
                    INSTANCE, "one"
                ):
                    self._send(name, limits)
        return self

    def _report(self, name, limits):
        reports = limits.own_reports()
        for other, receiver in self.vms.items():
            if other != name and not {name, other} & self.cut:
                receiver.record_reports(reports)

    def _send(self, name, limits):
        if not limits.rate_per_s(INSTANCE) and random.random() > 0.02:
            return
        limits.take(INSTANCE)
        self.sent.append(self.now_s)
        answered_s = self.now_s + RESPONSE_S
        self._responses.append(
            (answered_s, name, limits, self.named(self.now_s + RESPONSE_S / 2))
        )

    def most_in_a_window(self, from_s, until_s=1e9):
        times = [at_s for at_s in self.sent if from_s <= at_s < until_s]
        return max(
            (
                sum(1 for at_s in times if first_s <= at_s < first_s + WINDOW_S)
                for first_s in times
            ),
            default=0,
        )

    def sent_between(self, from_s, until_s):
        return sum(1 for at_s in self.sent if from_s <= at_s < until_s)


@pytest.mark.parametrize("size", [1, 3, 11, 200])
@pytest.mark.parametrize("rate", [0.4, 2.0, 4.7, 12.0])
def test_fleet_keeps_and_uses_a_limit(size, rate):
    fleet = Fleet(size, seed=size, heartbeat_s=0.25 if size < 17 else 1.0)
    fleet.run(1.0)
    fleet.named = lambda now_s: rate
    fleet.run(16.0)
    allowed = OVER * rate * WINDOW_S + SLACK
    assert fleet.most_in_a_window(101.0 + CONTACT_S) <= allowed
    used = fleet.sent_between(107.0, 117.0)
    assert 0.8 * rate * 10 - 1 <= used <= 1.05 * rate * 10 + 2


def test_burst_after_a_quiet_time_stays_within_the_limit():
    """Guards against VMs that saved up requests while nobody called."""
    fleet = Fleet(200, seed=5, heartbeat_s=1.0)
    fleet.named = lambda now_s: 3.0
    fleet.wanted = lambda now_s: now_s < 106.0 or now_s > 150.0
    fleet.run(60.0)
    allowed = OVER * 3.0 * WINDOW_S + SLACK
    assert fleet.most_in_a_window(100.0 + CONTACT_S + 0.5) <= allowed


def test_limit_that_changes_and_ends_is_followed_by_all_vms():
    fleet = Fleet(11, seed=7)
    fleet.named = lambda now_s: 8.0 if now_s < 110.0 else 2.0
    fleet.run(20.0)
    assert fleet.most_in_a_window(104.5, 110.0) <= OVER * 8.0 * WINDOW_S + 5
    assert fleet.most_in_a_window(114.0) <= OVER * 2.0 * WINDOW_S + SLACK
    fleet.named = lambda now_s: None
    fleet.run(3.0)
    assert all(v.rate_per_s(INSTANCE) is None for v in fleet.vms.values())
    assert fleet.sent_between(121.0, 123.0) > 20


def test_vm_without_a_share_learns_of_the_end_after_a_cut():
    """Guards against a VM that avoids an upstream for good."""
    fleet = Fleet(200, seed=8, heartbeat_s=1.0)
    fleet.named = lambda now_s: 1.0
    fleet.run(3.0)
    outsider = next(
        name
        for name, limits in fleet.vms.items()
        if limits.share_per_s(INSTANCE, "one") == 0.0
    )
    fleet.cut = {outsider}
    fleet.run(1.0)
    fleet.named = lambda now_s: None
    fleet.run(rate_limits.ENDED_REPORT_S + 5.0)
    assert fleet.vms[outsider].rate_per_s(INSTANCE) == 1.0
    fleet.cut = set()
    reports = fleet.vms[outsider].reports(["u1"])
    for name, limits in fleet.vms.items():
        if name != outsider:
            limits.record_reports(reports)
    fleet.run(2.0)
    assert fleet.vms[outsider].rate_per_s(INSTANCE) is None


def test_restarted_vm_learns_a_limit_from_its_peers():
    fleet = Fleet(11, seed=9)
    fleet.named = lambda now_s: 3.0
    fleet.run(5.0)
    fleet.wanted = lambda now_s: False
    fleet.start("vm4")
    fleet.run(0.5)
    assert fleet.vms["vm4"].rate_per_s(INSTANCE) == 3.0


def test_restarted_upstream_has_no_limit_of_the_former_start():
    now = [10.0]
    limits = rate_limits.RateLimits(lambda: now[0])
    limits.update_vms("vm0", {"vm0": "one"})
    limits.record(INSTANCE, 0.5)
    limits.take(INSTANCE)
    assert limits.wait_s(INSTANCE, "one") > 0.0
    restarted = dataclasses.replace(INSTANCE, started_ms=2)
    assert limits.wait_s(restarted, "one") == 0.0
    stale = rate_limits.RateLimits(lambda: now[0])
    stale.record(INSTANCE, 0.5)
    limits.record(restarted, 4.0)
    limits.record_reports(stale.own_reports())
    assert limits.rate_per_s(restarted) == 4.0


def test_limit_survives_a_registration_that_lapsed_for_a_moment():
    now = [10.0]
    limits = rate_limits.RateLimits(lambda: now[0])
    limits.record(INSTANCE, 0.5)
    now[0] += 20.0
    limits.forget(set())
    assert limits.rate_per_s(INSTANCE) == 0.5
    now[0] += rate_limits.FORGET_AFTER_S
    limits.forget(set())
    assert limits.rate_per_s(INSTANCE) is None


def test_heartbeats_between_full_ones_carry_only_changed_limits():
    own = vm.Vm("vm1", 1, "one", "one-a", "10.0.0.1:1", "10.0.0.1:3", "h:2")
    encoder = heartbeat.DeltaEncoder(6)

    def encoded(limits):
        return encoder.encode(
            heartbeat.Heartbeat(
                own, 1, True, 7, 0.1, {}, {}, {}, {}, limits=limits
            )
        ).limits

    assert encoded({"u1": (1, 2.0, 5)}) == {"u1": (1, 2.0, 5)}
    assert encoded({"u1": (1, 2.0, 9)}) == {}
    assert encoded({"u1": (1, None, 0)}) == {"u1": (1, None, 0)}

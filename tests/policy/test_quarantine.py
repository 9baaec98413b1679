"""Requests that end upstreams, on simulated time."""

import itertools
import random

import pytest

from bramleyworks.policy import quarantine

HEARTBEAT_S = 0.25
ALLOWED_AFTER_S = 4.0
ALLOWED_SENDINGS = 3


class Fleet:
    """VMs that send one request, know who ended, and report to each other."""

    def __init__(self, size, seed, is_deadly=True):
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.vms = [
            quarantine.Quarantine(lambda: self.now_s) for _ in range(size)
        ]
        self.group_of = lambda vm, now_s: 0
        self.is_deadly = is_deadly
        self.sent = []
        self.refused = 0
        self._starts = itertools.count(1)
        self._next_report_s = [
            self.now_s + self.rng.random() * HEARTBEAT_S for _ in self.vms
        ]

    def run(self, seconds, rate_per_s):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += self.rng.expovariate(rate_per_s)
            self._report()
            number = self.rng.randrange(len(self.vms))
            vm = self.vms[number]
            entry = vm.get("f")
            if entry and entry.is_quarantined:
                if number != 0 or not vm.start_trial("f"):
                    self.refused += 1
                    continue
            self.sent.append(self.now_s)
            if self.is_deadly:
                vm.record_end("f", next(self._starts))
            else:
                vm.record_response("f")
        return self

    def _report(self):
        for number, vm in enumerate(self.vms):
            if self._next_report_s[number] > self.now_s:
                continue
            self._next_report_s[number] += HEARTBEAT_S
            reports = vm.reports(only_recent=self.rng.random() > 0.2)
            for other, receiver in enumerate(self.vms):
                if other != number and (
                    self.group_of(number, self.now_s)
                    == self.group_of(other, self.now_s)
                ):
                    receiver.merge(reports)

    def check(self):
        late_s = self.sent[quarantine.MAX_ENDED_UPSTREAMS - 1] + ALLOWED_AFTER_S
        late = [at_s for at_s in self.sent if at_s > late_s]
        assert len(late) <= ALLOWED_SENDINGS


@pytest.mark.parametrize("size", [1, 3, 11, 90])
@pytest.mark.parametrize("rate", [0.5, 5.0, 50.0])
def test_query_of_death_is_kept_from_upstreams(size, rate):
    fleet = Fleet(size, size).run(120.0, rate)
    fleet.check()
    assert fleet.refused > 0.5 * 120 * rate


def test_restarted_vm_and_vms_that_were_cut_off_learn_of_it():
    fleet = Fleet(6, 3)
    fleet.run(5.0, 5.0)
    fleet.group_of = lambda vm, now_s: int(vm > 3)
    fleet.run(10.0, 5.0)
    fleet.vms[2] = quarantine.Quarantine(lambda: fleet.now_s)
    fleet.group_of = lambda vm, now_s: 0
    before = len(fleet.sent)
    fleet.run(60.0, 5.0)
    assert len(fleet.sent) - before <= ALLOWED_SENDINGS


def test_popular_request_stays_served_while_upstreams_end_in_turn():
    """Guards against blaming what was in flight wherever an upstream ended."""
    fleet = Fleet(3, 1, is_deadly=False)
    for number in range(12):
        for vm in fleet.vms:
            vm.record_end("f", 1000 + number)
        fleet.run(1.0, 20.0)
    assert fleet.refused == 0


def test_request_suspected_when_upstreams_end_at_once_is_released_soon():
    fleet = Fleet(3, 2, is_deadly=False)
    for vm in fleet.vms:
        for number in range(4):
            vm.record_end("f", 1000 + number)
    fleet.run(10.0, 20.0)
    assert 0 < fleet.refused < 4.0 * 20
    refused = fleet.refused
    fleet.run(10.0, 20.0)
    assert fleet.refused == refused


def test_entries_and_reports_are_bounded():
    now = [10.0]
    kept = quarantine.Quarantine(lambda: now[0])
    for upstream in range(3):
        kept.record_end("deadly", upstream)
    for number in range(5000):
        kept.record_end(f"f{number}", 10 + number)
    assert len(kept.reports(only_recent=False)) == quarantine.MAX_REPORTED
    assert kept.get("deadly").is_quarantined
    assert sum(kept.get(f"f{n}") is not None for n in range(5000)) < (
        quarantine.MAX_ENTRIES
    )
    now[0] += quarantine.SUSPECT_TTL_S + 1
    assert kept.get("f4999") is None
    assert kept.get("deadly") is not None


def test_request_that_becomes_deadly_after_many_crashes_is_quarantined():
    """Guards against entries that are full of ends that were cleared."""
    kept = quarantine.Quarantine(lambda: 10.0)
    for upstream in range(40):
        kept.record_end("f", upstream)
        kept.record_response("f")
    for upstream in range(100, 103):
        kept.record_end("f", upstream)
    assert kept.get("f").is_quarantined


def test_quarantined_requests_are_reported_before_suspects():
    """Guards against many lost requests that crowd out what others need."""
    now = [10.0]
    kept = quarantine.Quarantine(lambda: now[0])
    for upstream in range(3):
        kept.record_end("deadly", upstream)
    now[0] += 1.0
    for number in range(100):
        kept.record_end(f"f{number}", 50)
    assert "deadly" in kept.reports(only_recent=True)


def test_old_reports_do_not_keep_an_entry_for_ever():
    now = [10.0]
    one = quarantine.Quarantine(lambda: now[0])
    other = quarantine.Quarantine(lambda: now[0])
    one.record_end("f", 1)
    for _ in range(200):
        now[0] += 0.5
        other.merge(one.reports(only_recent=False))
        one.merge(other.reports(only_recent=False))
    assert one.get("f") is None
    assert other.get("f") is None

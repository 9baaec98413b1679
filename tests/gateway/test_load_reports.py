"""Loads that upstreams tell one VM, known to the others by heartbeats.

The load: a region's upstreams, 4 slots and a queue of 12 each, take requests
of 84 VMs, a third of which are in another region. Each VM meets an upstream
once in some seconds, so that alone it knows nothing of its queue.
"""

import heapq
import itertools
import random

from bramleyworks.gateway import instance
from bramleyworks.gateway import registry
from bramleyworks.policy import placement

SLOTS = 4
QUEUE = 12
WORK_S = 0.17
UPSTREAMS = 30
NEAR_VMS = 56
FAR_VMS = 28
NEAR_HEARTBEAT_S = 0.45
FAR_HEARTBEAT_S = 0.5
FAR_LAG_S = 0.04
DEMAND = placement.Demand(0.48, WORK_S, 0.5, 3.0, 1.0)


def upstream(name):
    return instance.Instance(
        id=name,
        service="desk",
        host="10.0.0.1",
        port=int(name[1:]) + 1,
        failure_domain="one-a",
        version="v1",
        slots=SLOTS,
        is_draining=False,
        cold_left_s=0.0,
        started_ms=1,
    )


class Simulation:
    """Requests of many VMs at upstreams, on virtual time."""

    def __init__(self, load, shares_loads, seed=1):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.load = load
        self.shares_loads = shares_loads
        self.events = []
        self.order = itertools.count()
        self.vms = []
        for number in range(NEAR_VMS + FAR_VMS):
            region = "one" if number < NEAR_VMS else "two"
            made = registry.Registry(
                region, {"one-a": "one"}, lambda: self.now_s
            )
            for name in (f"u{n}" for n in range(UPSTREAMS)):
                made.register(name, upstream(name))
            self.vms.append(made)
        self.running = dict.fromkeys((f"u{n}" for n in range(UPSTREAMS)), 0)
        self.queues = {name: [] for name in self.running}
        self.reported_s = [0.0] * len(self.vms)
        self.served = self.within_objective = self.shed_count = (
            self.refused_count
        ) = 0

    def at(self, when_s, call, *args):
        heapq.heappush(self.events, (when_s, next(self.order), call, args))

    def run(self, seconds):
        self.at(0.0, self.request)
        for number in range(len(self.vms)):
            first_s = self.rng.random() * NEAR_HEARTBEAT_S
            self.at(first_s, self.send_heartbeat, number)
        while self.events and self.now_s < seconds:
            self.now_s, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    def request(self):
        rate = self.load * UPSTREAMS * SLOTS / WORK_S
        self.at(self.now_s + self.rng.expovariate(rate), self.request)
        vm = self.rng.choice(self.vms)
        key = f"stock/{self.rng.randrange(280)}"
        choice = vm.choose(list(vm.all()), key, DEMAND)
        if choice.id is None:
            self.refused_count += 1
            return
        known = vm.get(choice.id)
        known.in_flight += 1
        lag_s = 0.001 if vm in self.vms[:NEAR_VMS] else 0.035
        self.at(self.now_s + lag_s, self.arrive, vm, known, lag_s, self.now_s)

    def arrive(self, vm, known, lag_s, sent_s):
        name = known.instance.id
        if self.running[name] < SLOTS:
            self.start(vm, known, lag_s, sent_s)
        elif len(self.queues[name]) < QUEUE:
            self.queues[name].append((vm, known, lag_s, sent_s))
        else:
            told = (SLOTS, QUEUE)
            self.at(self.now_s + lag_s, self.answer, known, told, sent_s, True)

    def start(self, vm, known, lag_s, sent_s):
        self.running[known.instance.id] += 1
        work_s = WORK_S * self.rng.uniform(0.8, 1.2)
        self.at(self.now_s + work_s, self.end, vm, known, lag_s, sent_s)

    def end(self, vm, known, lag_s, sent_s):
        name = known.instance.id
        self.running[name] -= 1
        if self.queues[name]:
            self.start(*self.queues[name].pop(0))
        told = (self.running[name], len(self.queues[name]))
        self.at(self.now_s + lag_s, self.answer, known, told, sent_s, False)

    def answer(self, known, told, sent_s, is_shed):
        known.record_load(*told)
        known.in_flight -= 1
        if is_shed:
            self.shed_count += 1
            known.record_shed()
        else:
            self.served += 1
            self.within_objective += self.now_s - sent_s <= DEMAND.objective_s

    def send_heartbeat(self, number):
        """Tells the other VMs what production heartbeats tell them."""
        vm = self.vms[number]
        is_near = number < NEAR_VMS
        self.at(self.now_s + NEAR_HEARTBEAT_S, self.send_heartbeat, number)
        since_s, self.reported_s[number] = self.reported_s[number], self.now_s
        if self.shares_loads:
            peers = self.vms[:NEAR_VMS] if is_near else self.vms[NEAR_VMS:]
            loads = vm.load_reports(since_s)
            for other in peers:
                if other is not vm:
                    other.record_peer_loads(loads)
            if number == 0:
                self.at(
                    self.now_s + FAR_LAG_S,
                    self.receive_far_heartbeat,
                    vm.region_load_reports(),
                )
        counts = {}
        for other in self.vms[:NEAR_VMS]:
            for known in other.all():
                name = known.instance.id
                counts[name] = counts.get(name, 0) + known.in_flight
        if is_near:
            for known in vm.all():
                others = counts[known.instance.id] - known.in_flight
                known.peers_in_flight = others

    def receive_far_heartbeat(self, loads):
        for vm in self.vms[NEAR_VMS:]:
            vm.record_peer_loads(loads)


def test_fewer_requests_are_sent_to_full_upstreams():
    alone = Simulation(0.95, shares_loads=False).run(12.0)
    shared = Simulation(0.95, shares_loads=True).run(12.0)
    print(
        alone.served,
        alone.within_objective,
        alone.shed_count,
        alone.refused_count,
    )
    print(
        shared.served,
        shared.within_objective,
        shared.shed_count,
        shared.refused_count,
    )
    assert shared.shed_count < 0.25 * alone.shed_count
    assert shared.within_objective >= alone.within_objective


def test_told_load_of_a_peer_counts_until_a_newer_one_comes():
    now = [10.0]
    one, two = (
        registry.Registry("one", {"one-a": "one"}, lambda: now[0])
        for _ in range(2)
    )
    for vm in (one, two):
        vm.register("u1", upstream("u1"))
    one.get("u1").record_load(4, 6)
    two.record_peer_loads(one.load_reports(9.0))
    assert round(two.get("u1").load()) == 10
    now[0] += 0.2
    # Passed on once more it is no newer.
    two.get("u1").record_load(1, 0)
    two.record_peer_loads(one.region_load_reports())
    assert two.get("u1").load() < 3
    now[0] += registry.MAX_LOAD_REPORT_AGE_S
    assert one.region_load_reports() == {}

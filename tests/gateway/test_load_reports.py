"""Load reports of upstreams that VMs share in heartbeats.

The simulated upstreams of a region, with 4 slots and a queue of 12 each, get
requests from 84 VMs, a third of which are in another region. Each VM uses an
upstream only once in several seconds, so it can not know the upstream's queue
from its own responses alone.
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
    """Simulates requests of many VMs to upstreams on simulated time."""

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
            created = registry.Registry(
                region, {"one-a": "one"}, lambda: self.now_s
            )
            for name in (f"u{n}" for n in range(UPSTREAMS)):
                created.register(name, upstream(name))
            self.vms.append(created)
        self.running = dict.fromkeys((f"u{n}" for n in range(UPSTREAMS)), 0)
        self.queues = {name: [] for name in self.running}
        self.reported_s = [0.0] * len(self.vms)
        self.served = self.within_objective = self.shed_count = (
            self.refused_count
        ) = 0

    def schedule(self, when_s, call, *args):
        heapq.heappush(self.events, (when_s, next(self.order), call, args))

    def run(self, seconds):
        self.schedule(0.0, self.request)
        for number in range(len(self.vms)):
            first_s = self.rng.random() * NEAR_HEARTBEAT_S
            self.schedule(first_s, self.send_heartbeat, number)
        while self.events and self.now_s < seconds:
            self.now_s, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    def request(self):
        rate = self.load * UPSTREAMS * SLOTS / WORK_S
        self.schedule(self.now_s + self.rng.expovariate(rate), self.request)
        vm = self.rng.choice(self.vms)
        key = f"stock/{self.rng.randrange(280)}"
        choice = vm.choose("one", list(vm.all()), key, DEMAND)
        if choice.id is None:
            self.refused_count += 1
            return
        target = vm.get(choice.id)
        target.in_flight += 1
        lag_s = 0.001 if vm in self.vms[:NEAR_VMS] else 0.035
        self.schedule(
            self.now_s + lag_s, self.arrive, vm, target, lag_s, self.now_s
        )

    def arrive(self, vm, target, lag_s, sent_s):
        name = target.instance.id
        if self.running[name] < SLOTS:
            self.start(vm, target, lag_s, sent_s)
        elif len(self.queues[name]) < QUEUE:
            self.queues[name].append((vm, target, lag_s, sent_s))
        else:
            reported = (SLOTS, QUEUE)
            self.schedule(
                self.now_s + lag_s,
                self.handle_response,
                target,
                reported,
                sent_s,
                True,
            )

    def start(self, vm, target, lag_s, sent_s):
        self.running[target.instance.id] += 1
        work_s = WORK_S * self.rng.uniform(0.8, 1.2)
        self.schedule(self.now_s + work_s, self.end, vm, target, lag_s, sent_s)

    def end(self, vm, target, lag_s, sent_s):
        name = target.instance.id
        self.running[name] -= 1
        if self.queues[name]:
            self.start(*self.queues[name].pop(0))
        reported = (self.running[name], len(self.queues[name]))
        self.schedule(
            self.now_s + lag_s,
            self.handle_response,
            target,
            reported,
            sent_s,
            False,
        )

    def handle_response(self, target, reported, sent_s, is_shed):
        target.record_load(*reported)
        target.in_flight -= 1
        if is_shed:
            self.shed_count += 1
            target.record_shed()
        else:
            self.served += 1
            self.within_objective += self.now_s - sent_s <= DEMAND.objective_s

    def send_heartbeat(self, number):
        """Sends the other VMs the same load data as production heartbeats."""
        vm = self.vms[number]
        is_near = number < NEAR_VMS
        self.schedule(
            self.now_s + NEAR_HEARTBEAT_S, self.send_heartbeat, number
        )
        since_s, self.reported_s[number] = self.reported_s[number], self.now_s
        if self.shares_loads:
            peers = self.vms[:NEAR_VMS] if is_near else self.vms[NEAR_VMS:]
            loads = vm.load_reports(since_s)
            for other in peers:
                if other is not vm:
                    other.record_peer_loads(loads)
            if number == 0:
                self.schedule(
                    self.now_s + FAR_LAG_S,
                    self.receive_far_heartbeat,
                    vm.region_load_reports(),
                )
        counts = {}
        for other in self.vms[:NEAR_VMS]:
            for target in other.all():
                name = target.instance.id
                counts[name] = counts.get(name, 0) + target.in_flight
        if is_near:
            for target in vm.all():
                others = counts[target.instance.id] - target.in_flight
                target.peers_in_flight = others

    def receive_far_heartbeat(self, loads):
        for vm in self.vms[NEAR_VMS:]:
            vm.record_peer_loads(loads)


def test_shared_load_reports_avoid_full_upstreams():
    """Guards against stale loads, with which full upstreams shed requests."""
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


def test_load_report_of_a_peer_is_replaced_by_a_newer_one():
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
    # Relaying an old report must not make it look newer.
    two.get("u1").record_load(1, 0)
    two.record_peer_loads(one.region_load_reports())
    assert two.get("u1").load() < 3
    now[0] += registry.MAX_LOAD_REPORT_AGE_S
    assert one.region_load_reports() == {}

"""Simulation of queue waits with slot loans and with round robin.

Run with ``python -m bramleyworks_lab.slot_sim``. Ten VMs and 16 upstreams of
5 slots share one region; two thirds of the requests arrive at three of the
VMs. The slot owner policy runs the daemon's own ``SlotTask`` on virtual time.
"""

import asyncio
import dataclasses
import random
import sys

from bramleyworks.daemon import identity
from bramleyworks.daemon import slot_request
from bramleyworks.daemon import slot_task
from bramleyworks.document import document
from bramleyworks.document import organisation
from bramleyworks.document import service
from bramleyworks.document import stored_config
from bramleyworks.document import upstream
from bramleyworks.messages import heartbeat
from bramleyworks.policy import fleet_view
from bramleyworks.policy import ledger
from bramleyworks.policy import member
from bramleyworks.policy import probe_result
from bramleyworks.policy import slot_outcome
from bramleyworks_lab import virtual_loop

VMS = 10
BUSY_VMS = 3
BUSY_SHARE = 2 / 3
UPSTREAMS = 16
SLOTS = 5
ORGANISATIONS = 8
# Share of the requests that each organisation sends, per thousand.
ORGANISATION_WEIGHTS = (393, 239, 145, 88, 53, 32, 20, 30)
MEAN_SERVICE_TIME_S = 0.1
LINK_LATENCY_S = 0.001
LINK_JITTER_S = 0.0002
DEADLINE_S = 10.0
SETTLE_S = 35.0
SAMPLE_INTERVAL_S = 0.005


@dataclasses.dataclass
class Outcome:
    """Results of one simulation.

    Attributes:
        waits_s: Time in seconds that each request waited for a slot.
        waits_by_organisation: The same by organisation.
        refused: Number of requests that got no slot.
        idle_while_waiting: Mean number of slots idle while requests wait, at
            most the number of waiting requests.
        messages_per_request: Messages between VMs per request.
        max_used: Most requests in flight on one upstream.
    """

    waits_s: list[float] = dataclasses.field(default_factory=list)
    waits_by_organisation: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    refused: int = 0
    idle_while_waiting: float = 0.0
    messages_per_request: float = 0.0
    max_used: int = 0

    def quantile_ms(self, share: float) -> float:
        """Returns a quantile of the waits in milliseconds."""
        return _quantile(self.waits_s, share) * 1000

    def record_wait(self, org: str, wait_s: float) -> None:
        """Records the wait of a request that got a slot."""
        self.waits_s.append(wait_s)
        self.waits_by_organisation.setdefault(org, []).append(wait_s)

    def unfairness(self) -> float:
        """Returns the worst organisation's p99 latency over the median one's.

        Latency is the wait plus the mean service time.
        """
        latencies_s = sorted(
            _quantile(waits, 0.99) + MEAN_SERVICE_TIME_S
            for waits in self.waits_by_organisation.values()
        )
        return latencies_s[-1] / latencies_s[len(latencies_s) // 2]


def _quantile(values, share):
    sorted_values = sorted(values)
    return sorted_values[
        min(int(share * len(sorted_values)), len(sorted_values) - 1)
    ]


def make_document(weights: tuple[int, ...] = ()) -> document.Document:
    """Returns a document of one service with its upstreams in one region."""
    weights = weights or (1,) * ORGANISATIONS
    return document.Document(
        organisations=tuple(
            organisation.Organisation(f"org{i}", 1000.0, 1000.0, weight)
            for i, weight in enumerate(weights)
        ),
        services=(service.Service("desk", "v1"),),
        upstreams=tuple(
            upstream.Upstream(
                f"u{i}", "desk", "v1", "sudo", "a", f"http://u{i}", SLOTS
            )
            for i in range(UPSTREAMS)
        ),
    )


class _Ledger:
    def __init__(self, name, owners):
        self._owners = owners
        self._owned = frozenset(u for u, vm in owners.items() if vm == name)

    def owned(self):
        return self._owned

    def owner_of(self, name):
        return self._owners.get(name)

    def units(self):
        return ledger.TOTAL_UNITS // VMS


class _Limits:
    def try_take(self, limit, amount):
        return True

    async def take(self, limit, amount, deadline_s):
        return True


class _Network:
    """Delivers messages after a random delay, in order per pair of VMs."""

    def __init__(self, rng):
        self.rng = rng
        self.links = {}
        self.sent = 0
        self._last_s = {}

    def send(self, source, target, msg):
        loop = asyncio.get_running_loop()
        self.sent += 1
        at_s = loop.time() + LINK_LATENCY_S + self.rng.random() * LINK_JITTER_S
        at_s = max(at_s, self._last_s.get((source, target), 0.0))
        self._last_s[source, target] = at_s
        loop.call_at(at_s, self._deliver, source, target, msg)

    def _deliver(self, source, target, msg):
        self.links[target].handlers[type(msg)](source, msg)


class _Link:
    def __init__(self, network, name):
        self._network = network
        self._name = name
        self.handlers = {}
        network.links[name] = self

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, msg):
        self._network.send(self._name, name, msg)
        return True


class _SlotMeter:
    """Counts requests in flight and waiting, and samples idle slots."""

    def __init__(self):
        self.used = [0] * UPSTREAMS
        self.waiting = 0
        self.max_used = 0
        self.idle_samples = []

    def start_request(self, index):
        self.used[index] += 1
        self.max_used = max(self.max_used, self.used[index])

    async def sample(self):
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            idle = sum(max(SLOTS - n, 0) for n in self.used)
            self.idle_samples.append(min(idle, self.waiting))


async def _generate_load(load_share, duration_s, rng, meter, request):
    """Starts requests with Poisson arrivals and waits for their end."""
    loop = asyncio.get_running_loop()
    rate = load_share * UPSTREAMS * SLOTS / MEAN_SERVICE_TIME_S
    sampler = asyncio.create_task(meter.sample())
    end_s = loop.time() + duration_s
    running = set()
    while loop.time() < end_s:
        await asyncio.sleep(rng.expovariate(rate))
        if rng.random() < BUSY_SHARE:
            vm = rng.randrange(BUSY_VMS)
        else:
            vm = rng.randrange(BUSY_VMS, VMS)
        org = f"org{min(int(rng.expovariate(0.5)), ORGANISATIONS - 1)}"
        task = asyncio.create_task(
            request(vm, org, rng.expovariate(1 / MEAN_SERVICE_TIME_S))
        )
        running.add(task)
        task.add_done_callback(running.discard)
    sampler.cancel()
    await asyncio.gather(*running)


async def _run_slots(load_share, duration_s, seed, weights=()):
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    doc = make_document(weights)
    stored = stored_config.StoredConfig(1, "a", "lab", 0.0, doc)
    owners = {f"u{i}": f"vm{i % VMS}" for i in range(UPSTREAMS)}
    network = _Network(random.Random(seed + 1))
    tasks = []
    for i in range(VMS):
        me = identity.Identity(f"vm{i}", "1", "sudo", "a", "", "")
        task = slot_task.SlotTask(
            me,
            _Link(network, me.vm_id),
            _Ledger(me.vm_id, owners),
            _Limits(),
            clock=loop.time,
        )
        task.on_config(stored)
        tasks.append(task)
    background = [asyncio.create_task(task.run()) for task in tasks]
    background.append(asyncio.create_task(_send_heartbeats(tasks)))
    background.append(asyncio.create_task(_send_probe_results(tasks)))
    meter = _SlotMeter()
    outcome = Outcome()
    await asyncio.sleep(SETTLE_S)
    network.sent = 0

    async def request(vm, org, service_s):
        started_s = loop.time()
        slot_req = slot_request.SlotRequest(
            "desk", "v1", org, started_s + DEADLINE_S
        )
        meter.waiting += 1
        result = await tasks[vm].acquire(slot_req)
        meter.waiting -= 1
        if result.is_err():
            outcome.refused += 1
            return
        outcome.record_wait(org, loop.time() - started_s)
        index = int(result.unwrap().upstream[1:])
        meter.start_request(index)
        await asyncio.sleep(service_s)
        meter.used[index] -= 1
        tasks[vm].release(result.unwrap(), slot_outcome.SlotOutcome.OK)

    await _generate_load(load_share, duration_s, rng, meter, request)
    for task in background:
        task.cancel()
    outcome.idle_while_waiting = sum(meter.idle_samples) / len(
        meter.idle_samples
    )
    outcome.max_used = meter.max_used
    outcome.messages_per_request = network.sent / max(len(outcome.waits_s), 1)
    return outcome


async def _send_heartbeats(tasks):
    loop = asyncio.get_running_loop()
    sequence = 0
    while True:
        sequence += 1
        live = {}
        for i, task in enumerate(tasks):
            msg = heartbeat.Heartbeat(
                f"vm{i}", "1", sequence, "sudo", "a", "", "", 1, 0.0, False, 1,
                task.free_slots(),
            )  # fmt: skip
            live[f"vm{i}"] = member.Member(msg, loop.time())
        await asyncio.sleep(LINK_LATENCY_S)
        for i, task in enumerate(tasks):
            others = {n: m for n, m in live.items() if n != f"vm{i}"}
            task.on_fleet(fleet_view.FleetView(f"vm{i}", others))
        await asyncio.sleep(1.0 - LINK_LATENCY_S)


async def _send_probe_results(tasks):
    loop = asyncio.get_running_loop()
    probe = probe_result.ProbeResult("ok", 0, SLOTS, "v1")
    while True:
        for task in tasks:
            for name in task.owned():
                task.on_probe(name, probe, loop.time())
        await asyncio.sleep(1.0)


async def _run_round_robin(load_share, duration_s, seed):
    """Each VM sends to the next upstream; excess requests queue there."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    free_slots = [asyncio.Semaphore(SLOTS) for _ in range(UPSTREAMS)]
    next_indexes = [rng.randrange(UPSTREAMS) for _ in range(VMS)]
    meter = _SlotMeter()
    outcome = Outcome()

    async def request(vm, org, service_s):
        started_s = loop.time()
        next_indexes[vm] = (next_indexes[vm] + 1) % UPSTREAMS
        index = next_indexes[vm]
        meter.waiting += 1
        async with free_slots[index]:
            meter.waiting -= 1
            outcome.record_wait(org, loop.time() - started_s)
            meter.start_request(index)
            await asyncio.sleep(service_s)
            meter.used[index] -= 1

    await _generate_load(load_share, duration_s, rng, meter, request)
    outcome.idle_while_waiting = sum(meter.idle_samples) / len(
        meter.idle_samples
    )
    outcome.max_used = meter.max_used
    return outcome


async def _run_one_queue(load_share, duration_s, seed):
    """Uses one queue for all slots without delay, the best possible case."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    free_slots = asyncio.Semaphore(SLOTS * UPSTREAMS)
    meter = _SlotMeter()
    outcome = Outcome()

    async def request(vm, org, service_s):
        del vm
        started_s = loop.time()
        async with free_slots:
            outcome.record_wait(org, loop.time() - started_s)
            await asyncio.sleep(service_s)

    await _generate_load(load_share, duration_s, rng, meter, request)
    return outcome


async def _run_weighted(load_share, duration_s, seed):
    """Runs the slot owner policy with weights proportional to the load."""
    return await _run_slots(load_share, duration_s, seed, ORGANISATION_WEIGHTS)


POLICIES = {
    "slot owners": _run_slots,
    "weighted": _run_weighted,
    "round robin": _run_round_robin,
    "one queue": _run_one_queue,
}


def simulate(
    policy: str, load_share: float, duration_s: float, seed: int
) -> Outcome:
    """Runs one policy at one load on virtual time."""
    return virtual_loop.run(POLICIES[policy](load_share, duration_s, seed))


def main() -> None:
    """Prints the results of all policies."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    print(
        "load  policy       p50 ms   p99 ms  idle  msgs/req  refused  max"
        "  worst/median"
    )
    for load_share in (0.7, 0.95):
        for policy in POLICIES:
            outcome = simulate(policy, load_share, duration_s, seed)
            print(
                f"{load_share:4.2f}  {policy:11s}"
                f" {outcome.quantile_ms(0.5):7.2f}"
                f"  {outcome.quantile_ms(0.99):7.1f}"
                f"  {outcome.idle_while_waiting:4.2f}"
                f"  {outcome.messages_per_request:8.2f}  {outcome.refused:7d}"
                f"  {outcome.max_used:3d}"
                f"  {outcome.unfairness():6.2f}"
            )


if __name__ == "__main__":
    main()

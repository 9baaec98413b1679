"""Slot tasks of several VMs in virtual time with an unreliable network."""

import asyncio
import random

from bramleyworks.daemon import identity
from bramleyworks.daemon import slot_request
from bramleyworks.daemon import slot_task
from bramleyworks.document import document
from bramleyworks.document import drain
from bramleyworks.document import link_cap
from bramleyworks.document import service
from bramleyworks.document import stored_config
from bramleyworks.document import upstream
from bramleyworks.messages import codec
from bramleyworks.messages import heartbeat
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member
from bramleyworks.policy import probe_result
from bramleyworks.policy import slot_outcome

OK = slot_outcome.SlotOutcome.OK
NEUTRAL = slot_outcome.SlotOutcome.NEUTRAL


def make_document(sizes, drained=(), cap=10.0, **fields):
    """Returns a document.

    Args:
        sizes: Slots by upstream; the first letter of a name is its region.
        drained: Names of drained upstreams.
        cap: Requests per second of each link between regions.
        **fields: Fields of the service.
    """
    return document.Document(
        services=(service.Service("s", "v1", **fields),),
        upstreams=tuple(
            upstream.Upstream(
                n, "s", "v1", n[0].upper(), "f", f"http://{n}", slots
            )
            for n, slots in sizes.items()
        ),
        link_caps=(
            link_cap.LinkCap("A", "B", cap),
            link_cap.LinkCap("B", "A", cap),
        ),
        drains=tuple(drain.Drain("upstream", n) for n in drained),
    )


class Bucket:
    """Link limits of the whole fleet, one exact token bucket for each link."""

    def __init__(self, rate, burst, clock):
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self.tokens = {}

    def try_take(self, limit, amount):
        if limit.endswith(":bits"):
            return True
        tokens, at_s = self.tokens.get(limit, (self.burst, self.clock()))
        now_s = self.clock()
        tokens = min(tokens + self.rate * (now_s - at_s), self.burst)
        taken = tokens >= amount
        self.tokens[limit] = (tokens - amount if taken else tokens, now_s)
        return taken

    async def take(self, limit, amount, deadline_s):
        while self.clock() < deadline_s:
            if self.try_take(limit, amount):
                return True
            await asyncio.sleep(0.005)
        return False


class Ledger:
    def __init__(self, name, owners):
        self.name = name
        self.owners = owners

    def owned(self):
        return frozenset(u for u, n in self.owners.items() if n == self.name)

    def owner_of(self, name):
        return self.owners.get(name)

    def units(self):
        return 1260


class Link:
    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.handlers = {}
        self.refuse = 0

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, msg):
        if self.refuse:
            self.refuse -= 1
            return False
        self.simulation.transmit(self.name, name, codec.encode(msg))
        return True


class Simulation:
    """Runs the slot tasks of several VMs; VM names start with the region.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message arrives twice.
        delay_s: Maximum delay of a message in seconds.
        hold: Whether messages are kept in ``held`` for the test to deliver.
    """

    def __init__(self, owners, doc, rate=10.0, burst=10.0, seed=0):
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.loss = self.duplication = 0.0
        self.delay_s = 0.001
        self.hold = False
        self.held = []
        self.owners = owners
        self.doc = doc
        self.limits = Bucket(rate, burst, self.clock)
        self.links = {}
        self.tasks = {}
        for name in sorted(set(owners.values())):
            self.links[name] = Link(self, name)
            self.tasks[name] = slot_task.SlotTask(
                identity.Identity(name, "1", name[0], "f", "", ""),
                self.links[name],
                Ledger(name, owners),
                self.limits,
                clock=self.clock,
            )
        self.running = dict.fromkeys(owners, 0)
        self.max_running = dict.fromkeys(owners, 0)
        self.shifts = []
        self.background = [
            asyncio.create_task(t.run()) for t in self.tasks.values()
        ]
        self.background.append(asyncio.create_task(self.send_heartbeats()))
        self.configure(doc)

    def clock(self):
        return self.loop.time()

    def configure(self, doc):
        self.doc = doc
        stored = stored_config.StoredConfig(1, "a", "t", 0.0, doc)
        for task in self.tasks.values():
            task.on_config(stored)

    def transmit(self, sender, receiver, data):
        if self.hold:
            self.held.append((sender, receiver, data))
            return
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            self.loop.call_later(
                self.rng.random() * self.delay_s,
                self.deliver,
                sender,
                receiver,
                data,
            )

    def deliver(self, sender, receiver, data):
        msg = codec.decode(data, sender).unwrap()
        self.links[receiver].handlers[type(msg)](sender, msg)

    def release_held(self):
        held, self.held = self.held, []
        for sender, receiver, data in held:
            self.deliver(sender, receiver, data)

    async def send_heartbeats(self):
        sequence = 0
        while True:
            sequence += 1
            live = {}
            for name, task in self.tasks.items():
                for upstream_name, spec in task.owned().items():
                    reading = probe_result.ProbeResult(
                        "ok",
                        self.running[upstream_name],
                        spec.slots,
                        spec.version,
                    )
                    task.on_probe(upstream_name, reading, self.clock())
                msg = heartbeat.Heartbeat(
                    name, "1", sequence, name[0], "f", "", "", 1, 0.0, False,
                    1, task.free_slots(),
                )  # fmt: skip
                live[name] = member.Member(msg, self.clock())
            for name, task in self.tasks.items():
                others = {n: m for n, m in live.items() if n != name}
                task.on_fleet(fleet_view.FleetView(name, others))
            await asyncio.sleep(1.0)

    def ask(self, wait_s=1.0, organisation="x", exclude=()):
        return slot_request.SlotRequest(
            "s", "v1", organisation, self.clock() + wait_s, 0, exclude
        )

    def begin(self, vm, slot):
        """Counts a request that starts at an upstream."""
        self.running[slot.upstream] += 1
        running = self.running[slot.upstream]
        self.max_running[slot.upstream] = max(
            self.max_running[slot.upstream], running
        )
        if slot.region != vm[0]:
            self.shifts.append((self.clock(), vm[0], slot.region))

    def end(self, vm, slot, outcome=OK):
        self.running[slot.upstream] -= 1
        self.tasks[vm].release(slot, outcome)

    def used(self):
        return {
            name: self.tasks[owner]._owner.used(name)
            for name, owner in self.owners.items()
        }

    async def stop(self):
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)

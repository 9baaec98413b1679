"""Fleet model with injected faults, checked against a global token bucket."""

import random

from support import fake_link
from support import fake_store
from support import limit_fleet
from support import virtual_clock

from bramleyworks import errors
from bramleyworks.daemon import identity
from bramleyworks.daemon import ledger_task
from bramleyworks.daemon import limit_task
from bramleyworks.messages import heartbeat
from bramleyworks.policy import fleet_view
from bramleyworks.policy import ledger
from bramleyworks.policy import member
from bramleyworks.policy import token_bucket

LIMIT = "org:o"
STEP_S = 0.2
LIVENESS_TIMEOUT_S = 2.0
TOLERANCE = 1e-6


class FaultyStore(fake_store.FakeStore):
    """Store that loses requests and replies or applies writes late.

    Attributes:
        faults: Faults of the next writes: ``"reply"``, ``"request"`` or
            ``"late"``.
        late_writes: Writes to apply when the test calls ``apply_late_write``.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.faults = []
        self.late_writes = []

    async def put(self, key, value, expected_revision):
        fault = self.faults.pop(0) if self.faults else None
        if fault == "reply":
            self.lose_replies = 1
        elif fault:
            if fault == "late":
                self.late_writes.append((key, value, expected_revision))
            raise errors.StoreUnknownError("store.put", "fake", fault)
        return await super().put(key, value, expected_revision)

    def apply_late_write(self):
        """Applies the oldest late write."""
        if self.late_writes:
            try:
                run_without_waiting(super().put(*self.late_writes.pop(0)))
            except errors.StoreError:
                pass


class VmStore:
    """Connection of one VM to the store, which can be cut off."""

    def __init__(self, store):
        self.store = store
        self.is_cut_off = False

    async def get(self, key):
        if self.is_cut_off:
            raise errors.StoreError("store.get", "fake", "cut off")
        return await self.store.get(key)

    async def put(self, key, value, expected_revision):
        if self.is_cut_off:
            raise errors.StoreError("store.put", "fake", "cut off")
        return await self.store.put(key, value, expected_revision)


def run_without_waiting(coro):
    """Runs a coroutine that must not suspend."""
    try:
        coro.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine suspended")


class Node:
    """One process; an old incarnation may run alongside its successor."""

    def __init__(self, model, name, incarnation):
        rng = random.Random(f"{name}/{incarnation}")
        me = identity.Identity(name, incarnation, "a", "1", name, name)
        self.name = name
        self.paused = False
        self.store = VmStore(model.store)
        self.members = {}
        self.ledger = ledger_task.LedgerTask(
            me, self.store, limit_fleet.AuditRecorder(), model.clock, rng.random
        )
        self.limits = limit_task.LimitTask(
            me, model.network.create_link(name), self.ledger, model.clock, rng
        )
        self.configure(*model.limit)

    def configure(self, rate_per_s, burst):
        self.limit = (rate_per_s, burst)
        self.limits.on_config(limit_fleet.make_config({"o": self.limit}))

    def make_heartbeat(self):
        return heartbeat.Heartbeat(
            vm_id=self.name,
            incarnation="",
            sequence=1,
            region="a",
            failure_domain="1",
            http="",
            peer="",
            config_version=1,
            fresh_age_s=0.0,
            draining=False,
            ledger_epoch=self.ledger.epoch(),
            free_slots={},
        )


class Model:
    """Runs nodes step by step and counts every admitted request.

    The reference is one global token bucket. Its rate and burst are the largest
    ones in force at any node; a lower burst applies once loans under the old
    one have ended.
    """

    def __init__(self, count=3, limit=(20.0, 12.0)):
        self.clock = virtual_clock.VirtualClock()
        self.network = fake_link.FakeNetwork()
        self.store = FaultyStore(self.clock)
        self.limit = limit
        self.nodes = {}
        self.zombies = []
        self.listed = set()
        self.isolated = set()
        self.incarnations = 0
        self.next_heartbeat_s = 0.0
        self.bursts = [(self.clock(), limit[1])]
        self.level = limit[1]
        self.level_s = self.clock()
        self.admitted = 0.0
        for index in range(count):
            self.start(f"vm{index}")

    def start(self, name):
        self.incarnations += 1
        self.listed.add(name)
        self.nodes[name] = Node(self, name, str(self.incarnations))

    def node(self, index):
        return self.nodes[sorted(self.nodes)[index % len(self.nodes)]]

    # Events.

    def advance(self, seconds, deliver="once"):
        """Advances the time and runs the processes that are not paused.

        Args:
            seconds: Time to advance.
            deliver: ``"once"`` or ``"twice"`` to deliver messages, ``"not"`` to
                keep them pending.
        """
        end_s = self.clock() + seconds
        while True:
            self._run_tasks(deliver)
            left_s = end_s - self.clock()
            if left_s <= 0.0:
                break
            self._refill()
            self.clock.advance(min(STEP_S, left_s))
            self._refill()
            self.check_units()

    def _run_tasks(self, deliver):
        if self.clock() >= self.next_heartbeat_s:
            self.next_heartbeat_s = self.clock() + 1.0
            self.exchange_heartbeats()
        for node in [*self.nodes.values(), *self.zombies]:
            if not node.paused:
                node.limits.tick()
                run_without_waiting(node.ledger.step())
        while deliver != "not" and self.network.pending:
            if deliver == "twice":
                self.process_message("repeat", 0)
                self.process_message("deliver", -1)
            else:
                self.process_message("deliver", 0)
        del self.network.pending[:-100]

    def exchange_heartbeats(self):
        now_s = self.clock()
        running = [n for n in self.nodes.values() if not n.paused]
        for node in running:
            for peer in running:
                if peer is not node and not {peer.name, node.name} & (
                    self.isolated
                ):
                    node.members[peer.name] = member.Member(
                        peer.make_heartbeat(), now_s
                    )
        for node in [*running, *self.zombies]:
            live = {
                name: item
                for name, item in node.members.items()
                if now_s - item.received_s < LIVENESS_TIMEOUT_S
            }
            view = fleet_view.FleetView(
                node.name,
                live,
                frozenset(self.listed),
                received_s={n: m.received_s for n, m in node.members.items()},
            )
            node.ledger.on_fleet(view)
            node.limits.on_fleet(view)

    def process_message(self, fate, index):
        """Delivers, duplicates or drops one pending message."""
        pending = self.network.pending
        if not pending:
            return
        index %= len(pending)
        sender, receiver, _ = pending[index]
        if fate == "drop" or {sender, receiver} & self.isolated:
            pending.pop(index)
        elif not self.nodes[receiver].paused:
            message = pending[index]
            self.network.deliver(index)
            if fate == "repeat":
                pending.append(message)
        elif fate == "deliver":
            pending.pop(index)

    def request(self, node, amount=1.0):
        """Offers one request and checks the limit if it is admitted."""
        if not node.limits.try_take(LIMIT, amount):
            return False
        self._refill()
        self.level -= amount
        self.admitted += amount
        assert self.level >= -TOLERANCE, (
            f"{-self.level:.3f} requests above burst + rate * window"
        )
        return True

    def take_all_tokens(self, nodes=None):
        """Takes all tokens that are available now, by default at all nodes."""
        for node in nodes or [*self.nodes.values(), *self.zombies]:
            if node.paused:
                continue
            amount = 16.0
            while amount > 0.01:
                if not self.request(node, amount):
                    amount /= 2

    def pause(self, node):
        node.paused = True

    def resume(self, node):
        """Resumes a process, which admits requests before anything else."""
        node.paused = False
        self.take_all_tokens([node])

    def disconnect(self, node):
        """Disconnects a process from peers and store; it keeps admitting."""
        self.isolated.add(node.name)
        self.listed.discard(node.name)
        node.store.is_cut_off = True

    def restart(self, node, zombie):
        """Starts a successor; a zombie keeps running without heartbeats."""
        if zombie:
            self.zombies = [*self.zombies, node][-2:]
        self.start(node.name)

    def configure(self, rate_per_s, burst, nodes=None):
        self._refill()
        self.limit = (rate_per_s, burst)
        for node in nodes or [*self.nodes.values(), *self.zombies]:
            node.configure(rate_per_s, burst)
        self._refill()

    # Checks.

    def _refill(self):
        """Refills the reference bucket for the time up to now."""
        now_s = self.clock()
        limits = [n.limit for n in [*self.nodes.values(), *self.zombies]]
        self.bursts.append((now_s, max(burst for _, burst in limits)))
        horizon_s = now_s - token_bucket.LENDER_HOLD_S - STEP_S
        while len(self.bursts) > 1 and self.bursts[1][0] < horizon_s:
            self.bursts.pop(0)
        rate_per_s = max(rate for rate, _ in limits)
        self.level = min(
            max(burst for _, burst in self.bursts),
            self.level + rate_per_s * (now_s - self.level_s),
        )
        self.level_s = now_s

    def check_units(self):
        """Checks that the units in use and the free units do not exceed all."""
        entry = self.store._entries.get(ledger.LEDGER_KEY)
        if entry is None:
            return
        value = ledger.decode(entry.value).unwrap()
        users = [
            node
            for node in [*self.nodes.values(), *self.zombies]
            if not node.paused and node.ledger.units()
        ]
        used = sum(node.ledger.units() for node in users)
        assert used <= ledger.TOTAL_UNITS, f"{used} units in use"
        # A removed process uses its units until it detects the removal. Until
        # then no other process may withdraw them.
        if all(n.ledger.epoch() >= value.removal_epoch for n in users):
            assert used + value.free_units <= ledger.TOTAL_UNITS

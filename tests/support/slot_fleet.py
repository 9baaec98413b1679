"""Slot state machines of several VMs, with a count of all running requests."""

import collections
import dataclasses

from bramleyworks.document import document
from bramleyworks.document import drain
from bramleyworks.document import service
from bramleyworks.document import upstream
from bramleyworks.messages import codec
from bramleyworks.messages import slot_ask
from bramleyworks.messages import slot_cancel
from bramleyworks.messages import slot_loan
from bramleyworks.messages import slot_refuse
from bramleyworks.messages import slot_release
from bramleyworks.policy import probe_result
from bramleyworks.policy import slot_borrower
from bramleyworks.policy import slot_lender
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import slot_owner

MAX_REQUEST_S = 5.0
REMOVED_AFTER_S = 15.0
RESUME_HOLD_S = 3.0
RESERVE = 1
UPSTREAMS = {"a1": ("A", 2), "a2": ("A", 3), "b1": ("B", 3)}
REGIONS = ("A", "A", "B")
ORGS = ("x", "y")
# Hours of uptime differ between VMs, so their monotonic clocks do too.
OFFSETS = (0.0, 5000.0, -300.0)

WAITS_S = (0.01,) * 4 + (0.1,) * 4 + (0.5,) * 4 + (1.5, 1.5, 3.5, 16.0)
OUTCOMES = (slot_outcome.SlotOutcome.OK,) * 4 + (
    slot_outcome.SlotOutcome.FAILED,
    slot_outcome.SlotOutcome.NEUTRAL,
)


def make_document(drained=()):
    return document.Document(
        services=(
            service.Service(
                "s",
                "v1",
                max_request_s=MAX_REQUEST_S,
                warmup_s=2.0,
                queue_limit=4,
                reserve_slots=RESERVE,
            ),
        ),
        upstreams=tuple(
            upstream.Upstream(name, "s", "v1", region, "f", "http://u", slots)
            for name, (region, slots) in UPSTREAMS.items()
        ),
        drains=tuple(drain.Drain("upstream", name) for name in drained),
    )


@dataclasses.dataclass(eq=False)
class WaitingRequest:
    """A request that waits for a slot of its own VM or for a loan."""

    vm: "Vm"
    deadline_s: float
    region: str
    entry: object = None
    ask_id: int = 0
    settled: bool = False


@dataclasses.dataclass(eq=False)
class RunningRequest:
    """A request that an upstream runs."""

    vm: "Vm"
    upstream: str
    owner: str
    use_id: int
    end_s: float
    running: bool = True


class Vm:
    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = f"vm{index}"
        self.region = REGIONS[index]
        self.offset = OFFSETS[index]
        self.owner = slot_owner.SlotOwner(f"{self.name}.1", self.region)
        self.lender = slot_lender.Lender(self.owner)
        self.borrower = slot_borrower.Borrower(f"{self.name}.1")
        self.dead = False
        self.stopped_s = None
        self.hold_until_s = 0.0
        self.doc_drained = frozenset()
        self.probe_drained = set()

    @property
    def drained(self):
        return self.doc_drained | self.probe_drained

    def configure(self, drained):
        self.doc_drained = drained
        self.owner.configure(make_document(drained), self.now_s)

    def set_owned(self, names):
        # A new owner does not know the probe results of the previous one.
        self.probe_drained &= names & self.owner.owned
        self.owner.set_owned(names, self.now_s)

    @property
    def now_s(self):
        return self.fleet.now_s + self.offset

    @property
    def stopped(self):
        return self.dead or self.stopped_s is not None

    def send(self, name, msg):
        self.fleet.messages.append((self.name, name, codec.encode(msg)))

    def request_own_slot(self, waiter, org, region, exclude):
        key = ("s", "v1", region)
        use = self.owner.acquire(
            key, org, exclude, self.now_s, foreign=region != self.region
        )
        if use is not None:
            self.check_grant(use, region != self.region)
            self.start_own(waiter, use)
        elif region == self.region:
            waiter.entry = self.owner.enqueue(
                key, org, waiter, waiter.deadline_s, exclude, self.now_s
            )

    def request_loan(self, waiter, owner, org, exclude, wait_s):
        waiter.ask_id = self.borrower.record_ask(owner, waiter, self.now_s)
        self.send(
            owner,
            slot_ask.SlotAsk(
                waiter.ask_id,
                "s",
                "v1",
                self.region,
                org,
                wait_s * 1000,
                exclude,
                waiter.region,
            ),
        )

    def cancel(self, waiter):
        if waiter.settled:
            return
        waiter.settled = True
        if waiter.entry is not None:
            self.owner.remove(("s", "v1", self.region), waiter.entry)
        if waiter.ask_id and self.borrower.cancel(waiter.ask_id):
            self.send(
                self.fleet.asked[waiter.ask_id],
                slot_cancel.SlotCancel(waiter.ask_id),
            )

    def start_own(self, waiter, use):
        assert not waiter.settled, "a request got a second slot"
        waiter.settled = True
        assert self.now_s < waiter.deadline_s, "run after the deadline"
        self.fleet.start(
            self, use.upstream, self.name, use.use_id, use.end_s - self.offset
        )

    def check_grant(self, use, foreign):
        assert use.upstream not in self.drained, (
            "a draining upstream got a request"
        )
        if foreign:
            region = UPSTREAMS[use.upstream][0]
            total = sum(s for r, s in UPSTREAMS.values() if r == region)
            running = sum(
                self.fleet.running(n)
                for n, (r, _) in UPSTREAMS.items()
                if r == region
            )
            spare = total - running - 1
            if self.fleet.frozen:
                spare += self.fleet.excess * len(UPSTREAMS)
            assert spare >= RESERVE, "a reserved slot was lent"

    def handle(self, sender, msg):
        now_s = self.now_s
        pool = None
        if isinstance(msg, slot_ask.SlotAsk):
            for name, reply in self.lender.on_ask(sender, msg, now_s):
                self.check_sent_loan(reply, msg.target != msg.region)
                self.send(name, reply)
        elif isinstance(msg, slot_cancel.SlotCancel):
            pool = self.lender.on_cancel(sender, msg, now_s)
        elif isinstance(msg, slot_release.SlotRelease):
            pool = self.lender.on_release(sender, msg, now_s)
        elif isinstance(msg, slot_refuse.SlotRefuse):
            self.borrower.on_refuse(sender, msg.ask_id)
        elif isinstance(msg, slot_loan.SlotLoan):
            self.on_loan(sender, msg)
        if pool is not None:
            self.grant(pool.pool)

    def check_sent_loan(self, reply, foreign):
        if not isinstance(reply, slot_loan.SlotLoan):
            return
        if reply.loan_id not in self.fleet.granted:
            self.fleet.granted.add(reply.loan_id)
            assert reply.upstream not in self.drained
            use = collections.namedtuple("Use", "upstream")(reply.upstream)
            self.check_grant(use, foreign)

    def on_loan(self, sender, msg):
        decision = self.borrower.on_loan(sender, msg, self.now_s)
        waiter = decision.ask.item if decision.ask else None
        if waiter is None and not decision.release_now:
            return
        late = waiter is not None and self.now_s >= waiter.deadline_s
        if waiter is None or decision.release_now or late or waiter.settled:
            self.borrower.finish(sender, msg.loan_id)
            self.send(sender, slot_release.SlotRelease(msg.loan_id, used=False))
            return
        waiter.settled = True
        self.fleet.start(
            self,
            msg.upstream,
            sender,
            msg.loan_id,
            decision.end_s - self.offset,
        )

    def grant(self, key):
        for entry, use in self.owner.grant(key, self.now_s):
            self.check_grant(use, False)
            assert self.now_s < entry.deadline_s, "run after the deadline"
            if isinstance(entry.item, slot_lender.LoanAsk):
                name, reply = self.lender.make_loan(entry.item, use, self.now_s)
                self.fleet.granted.add(reply.loan_id)
                self.send(name, reply)
            else:
                self.start_own(entry.item, use)

    def end(self, request, outcome):
        if request.owner == self.name:
            use = self.owner.release(request.use_id, outcome, self.now_s)
            if use is not None:
                self.grant(use.pool)
        elif self.borrower.finish(request.owner, request.use_id):
            failed = outcome is slot_outcome.SlotOutcome.FAILED
            used = outcome is not slot_outcome.SlotOutcome.NEUTRAL
            self.send(
                request.owner,
                slot_release.SlotRelease(request.use_id, failed, used),
            )

    def tick(self):
        if self.now_s >= self.hold_until_s:
            self.set_owned(self.fleet.owned_by(self.name))
        if self.doc_drained != self.fleet.drained:
            self.configure(self.fleet.drained)
        _, entries = self.owner.expire(self.now_s)
        for entry in entries:
            if isinstance(entry.item, slot_lender.LoanAsk):
                self.send(*self.lender.make_refusal(entry.item))
        self.lender.expire_asks(self.now_s)
        for key in self.owner.pool_keys():
            self.grant(key)


class Fleet:
    """Runs operations, given as (name, number, number), on all VMs."""

    def __init__(self):
        self.now_s = 1000.0
        self.messages = []
        self.requests = []
        self.waiting = []
        self.asked = {}
        self.granted = set()
        self.used_ids = set()
        self.drained = frozenset()
        self.history = []
        self.vms = [Vm(self, i) for i in range(len(REGIONS))]
        self.by_name = {vm.name: vm for vm in self.vms}
        # Load endpoints whose reading never changes, and the number of excess
        # requests per upstream that this may cause.
        self.frozen = {}
        self.excess = 0
        self.ledger = {"a1": "vm0", "a2": "vm1", "b1": "vm2"}
        self.taken_s = dict.fromkeys(UPSTREAMS, 0.0)
        for vm in self.vms:
            vm.configure(self.drained)
        self.advance(MAX_REQUEST_S + 2.0)

    def running(self, name):
        return sum(r.running and r.upstream == name for r in self.requests)

    def owned_by(self, name):
        return frozenset(u for u, vm in self.ledger.items() if vm == name)

    def start(self, vm, name, owner, use_id, end_s):
        assert not vm.stopped
        assert (owner, use_id) not in self.used_ids, "slot used twice"
        self.used_ids.add((owner, use_id))
        assert end_s > self.now_s, "started after the end of its loan"
        self.requests.append(RunningRequest(vm, name, owner, use_id, end_s))
        slots = UPSTREAMS[name][1] + (self.excess if self.frozen else 0)
        assert self.running(name) <= slots, "overload"

    def advance(self, seconds):
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(self.now_s + 0.5, until_s)
            self.history.append(
                (self.now_s, {n: self.running(n) for n in UPSTREAMS})
            )
            for req in list(self.requests):
                if self.now_s >= req.end_s:
                    # The deadline is sent with the request, so the upstream
                    # ends it even if the VM that sent it is stopped.
                    req.running = False
                    if not req.vm.stopped:
                        self.requests.remove(req)
                        req.vm.end(req, slot_outcome.SlotOutcome.NEUTRAL)
            for vm in self.vms:
                if not vm.stopped:
                    vm.tick()

    def apply(self, op, first, second):
        getattr(self, f"op_{op}")(first, second)

    # Operations.

    def op_own(self, first, second):
        vm = self.vms[first % 3]
        if vm.stopped:
            return
        wait_s = (0.2, 2.0, 20.0)[second % 3]
        if first % 4:
            self.op_own(first // 4 * 4, second // 2)
        region = "AB"[second // 3 % 5 == 0] if first % 2 else vm.region
        waiter = WaitingRequest(vm, vm.now_s + wait_s, region)
        self.waiting.append(waiter)
        vm.request_own_slot(waiter, ORGS[second % 2], region, _exclude(second))

    def op_ask(self, first, second):
        vm = self.vms[first % 3]
        owner = self.vms[first // 3 % 3]
        if vm.stopped or vm is owner:
            return
        wait_s = (0.2, 2.0, 20.0)[second % 3]
        waiter = WaitingRequest(vm, vm.now_s + wait_s, owner.region)
        self.waiting.append(waiter)
        vm.request_loan(
            waiter, owner.name, ORGS[second % 2], _exclude(second), wait_s
        )
        self.asked[waiter.ask_id] = owner.name
        if first % 4:
            self.op_ask(first // 4 * 4, second // 2)

    def op_deliver(self, first, second, keep=False):
        ready = [
            i
            for i, (_, receiver, _) in enumerate(self.messages)
            if self.by_name[receiver].dead or not self.by_name[receiver].stopped
        ]
        if not ready:
            return
        # Mostly in order; up to 7 later messages may arrive first.
        index = ready[first % min(len(ready), 1 + second % 8)]
        sender, receiver, data = self.messages[index]
        vm = self.by_name[receiver]
        if not keep or vm.dead:
            del self.messages[index]
        if not vm.dead:
            vm.handle(sender, codec.decode(data, sender).unwrap())

    def op_repeat(self, first, second):
        self.op_deliver(first, second, keep=True)

    def op_lose(self, first, second):
        if self.messages:
            del self.messages[first % len(self.messages)]

    def op_wait(self, first, second):
        self.advance(WAITS_S[first % len(WAITS_S)])

    def op_end(self, first, second):
        live = [r for r in self.requests if r.running and not r.vm.stopped]
        if live:
            req = live[first % len(live)]
            req.running = False
            self.requests.remove(req)
            req.vm.end(req, OUTCOMES[second % 6])

    def op_give_up(self, first, second):
        live = [w for w in self.waiting if not w.settled and not w.vm.stopped]
        if live:
            waiter = live[first % len(live)]
            waiter.vm.cancel(waiter)

    def op_pause(self, first, second):
        vm = self.vms[first % 3]
        if not vm.stopped:
            vm.stopped_s = self.now_s

    def op_resume(self, first, second):
        vm = self.vms[first % 3]
        if vm.dead or vm.stopped_s is None:
            return
        if self.now_s - vm.stopped_s > 2.0:
            vm.hold_until_s = vm.now_s + RESUME_HOLD_S
            vm.set_owned(frozenset())
        vm.stopped_s = None
        for req in list(self.requests):
            if req.vm is vm and not req.running:
                self.requests.remove(req)
                vm.end(req, slot_outcome.SlotOutcome.NEUTRAL)

    def op_kill(self, first, second):
        if first % 40 == 0 and not any(vm.dead for vm in self.vms):
            vm = self.vms[second % 3]
            vm.dead = True
            vm.stopped_s = vm.stopped_s or self.now_s

    def op_move(self, first, second):
        name = tuple(UPSTREAMS)[first % 3]
        old = self.by_name[self.ledger[name]]
        new = self.vms[second % 3]
        if new.stopped or new is old:
            return
        if old.stopped and self.now_s - old.stopped_s < REMOVED_AFTER_S:
            return
        self.ledger[name] = new.name
        self.taken_s[name] = self.now_s
        if not old.stopped:
            old.set_owned(self.owned_by(old.name))
        if new.now_s >= new.hold_until_s:
            new.set_owned(self.owned_by(new.name))

    def op_handover(self, first, second):
        """Reassigns an upstream under load and sends new load at once."""
        name = tuple(UPSTREAMS)[first % 3]
        old = self.vms.index(self.by_name[self.ledger[name]])
        new = second % 3
        for _ in range(3):
            self.op_own(old * 4, 1)
        self.op_move(first, second)
        self.advance((0.6, 1.1, 2.6, 4.1, 4.6, 5.1)[second // 3 % 6])
        # Requests that start after the reading make it too low.
        self.op_probe(first, (0, 1, 1, 2)[second // 18 % 4] + 24 * (first // 3))
        for _ in range(3):
            self.op_own(new * 4, 1)

    def op_probe(self, first, second):
        name = tuple(UPSTREAMS)[first % 3]
        vm = self.by_name[self.ledger[name]]
        if vm.stopped:
            return
        slots = UPSTREAMS[name][1]
        kind = second % 24
        busy = self.running(name)
        # A reading may be late. It may show too many free slots only if the
        # owner does not depend on it.
        if kind == 1:
            past = [b for t, b in self.history if t >= self.now_s - 3.0]
            busy = past[second // 24 % len(past)][name] if past else busy
        elif kind == 2:
            busy += 1 + second // 24 % 3
        elif kind == 3 and self.now_s - self.taken_s[name] > 30.0:
            busy = -1
        busy = self.frozen.get(name, busy)
        status = {4: "draining", 5: "failing"}.get(kind, "ok")
        reading = probe_result.ProbeResult(status, busy, slots, "v1")
        if kind in (6, 7):
            reading = None
        vm.owner.on_probe(name, reading, vm.now_s, vm.now_s)
        if status == "draining":
            vm.probe_drained.add(name)
        elif reading is not None and status == "ok":
            vm.probe_drained.discard(name)

    def op_freeze(self, first, second):
        name = tuple(UPSTREAMS)[first % 3]
        if self.frozen.pop(name, None) is None:
            self.frozen[name] = self.running(name)

    def op_drain(self, first, second):
        name = tuple(UPSTREAMS)[first % 3]
        self.drained = frozenset() if self.drained else frozenset({name})
        for vm in self.vms:
            if not vm.stopped:
                vm.configure(self.drained)

    def finish(self):
        """Ends all requests and checks that no slot stays in use."""
        for vm in self.vms:
            if not vm.dead:
                self.op_resume(self.vms.index(vm), 0)
        for _ in range(3):
            while self.messages:
                self.op_deliver(0, 0)
            self.advance(25.0)
        for vm in self.vms:
            if vm.dead:
                continue
            for name in UPSTREAMS:
                assert vm.owner.used(name) == 0, (
                    "a slot is still in use at the end"
                )
            for key in vm.owner.pool_keys():
                assert vm.owner.queue_length(key) == 0, (
                    "an entry is still queued at the end"
                )


def _exclude(number):
    return ("a1",) if number % 7 == 0 else ()

"""Guards against a ticket that runs twice or a false "not run"."""

import asyncio
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies
from support import fake_link
from support import virtual_clock

from bramleyworks import errors
from bramleyworks.daemon import identity
from bramleyworks.daemon import ticket_task
from bramleyworks.messages import heartbeat
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member
from bramleyworks.policy import ticket_outcome
from bramleyworks.policy import ticket_step

VMS = ("a", "b", "c", "d")
DONE = ticket_outcome.TicketOutcome("done", 200, "text/plain", b"yes")
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)


class Fleet:
    """Desks on a lossy link, and a record of what ran at an upstream."""

    def __init__(self):
        self.clock = virtual_clock.VirtualClock()
        self.network = fake_link.FakeNetwork()
        self.tasks = {}
        self.incarnations = dict.fromkeys(VMS, 0)
        self.running = []
        self.runs = {}
        for name in VMS:
            self.start(name)

    def start(self, name):
        self.incarnations[name] += 1
        me = identity.Identity(
            name, f"i{self.incarnations[name]}", "r", "f", f"{name}:80", name
        )
        self.tasks[name] = ticket_task.TicketTask(
            me, self.network.create_link(name), self.clock
        )
        self.running = [item for item in self.running if item[0] != name]
        self.update_views()

    def crash(self, name):
        self.tasks.pop(name, None)
        self.network.links.pop(name, None)
        for item in self.running:
            # The crash may come after the upstream ran the request.
            if item[0] == name:
                self.runs[item[1]] = self.runs.get(item[1], 0) + 1
        self.running = [item for item in self.running if item[0] != name]
        self.update_views()

    def update_views(self):
        for name, desk in self.tasks.items():
            live = {
                other: member.Member(self.make_heartbeat(other), 0.0)
                for other in self.tasks
                if other != name
            }
            desk.on_fleet(fleet_view.FleetView(name, live))

    def make_heartbeat(self, name):
        return heartbeat.Heartbeat(
            vm_id=name,
            incarnation=f"i{self.incarnations[name]}",
            sequence=1,
            region="r",
            failure_domain="f",
            http=f"{name}:80",
            peer=name,
            config_version=1,
            fresh_age_s=0.0,
            draining=False,
            ledger_epoch=1,
            free_slots={},
        )

    def send_request(self, name, ticket, organisation, digest, forwarded=False):
        """Does what the front end does, up to the upstream's answer."""
        if name not in self.tasks:
            return None
        step = self.tasks[name].begin(ticket, organisation, digest, forwarded)
        if isinstance(step, ticket_step.Run):
            self.running.append((name, ticket, step.attempt))
        if isinstance(step, ticket_step.Forward):
            for target in step.targets:
                step = self.send_request(
                    target.vm_id, ticket, organisation, digest, True
                )
                if not isinstance(step, ticket_step.Unknown | None):
                    return step
            return ticket_step.Unknown("nobody knows")
        return step

    def finish_request(self, index, outcome):
        if self.running:
            name, ticket, attempt = self.running.pop(index % len(self.running))
            if outcome.kind != "not_run":
                self.runs[ticket] = self.runs.get(ticket, 0) + 1
            self.tasks[name].finish(ticket, outcome, attempt)

    def stop(self, name, in_time=True, lost=False):
        if name not in self.tasks:
            return
        for item in [item for item in self.running if item[0] == name]:
            if in_time:
                self.finish_request(self.running.index(item), DONE)
        asyncio.run(self.tasks[name].hand_over())
        if lost and self.network.pending:
            del self.network.pending[0]
        self.network.deliver_all()
        self.crash(name)


OUTCOMES = (DONE, ticket_outcome.NOT_RUN, ticket_outcome.UNKNOWN)
ACTIONS = (["issue"] * 2 + ["call"] * 6 + ["end"] * 3 + ["start"] * 2) + [
    "crash",
    "stop",
    "wait",
    "call",
    "lose",
]


@SETTINGS
@hypothesis.given(strategies.integers(0, 2**32))
def test_runs_at_most_once_and_not_run_is_true(seed):
    """Crashes, restarts, handovers and lost replies in any order.

    A seed instead of a list of actions, because hypothesis prefers lists too
    short to issue, run, stop and repeat a ticket.
    """
    rng = random.Random(seed)
    fleet = Fleet()
    tickets = []
    refused = set()
    for _ in range(60):
        kind = rng.choice(ACTIONS)
        name = rng.choice(VMS)
        if kind == "issue" and name in fleet.tasks:
            tickets.append(fleet.tasks[name].issue("o"))
        elif kind == "call" and tickets:
            ticket = rng.choice(tickets[-4:])
            step = fleet.send_request(name, ticket, "o", "x")
            if isinstance(step, ticket_step.NotRun):
                assert fleet.runs.get(ticket, 0) == 0
                assert all(item[1] != ticket for item in fleet.running)
                refused.add(ticket)
            elif isinstance(step, ticket_step.Replay):
                assert fleet.runs[ticket] == 1
        elif kind == "end":
            fleet.finish_request(rng.randrange(9), rng.choice(OUTCOMES))
        elif kind == "crash":
            fleet.crash(name)
        elif kind == "start" and name not in fleet.tasks:
            fleet.start(name)
        elif kind == "stop":
            fleet.stop(name, rng.random() < 0.5, rng.random() < 0.3)
        elif kind == "wait":
            fleet.clock.advance(rng.uniform(0, 700))
        elif kind == "lose":
            # The caller repeats a request of which it lost the answer.
            tickets += tickets[-1:]
        assert max(fleet.runs.values(), default=0) <= 1
        assert not any(fleet.runs.get(ticket) for ticket in refused)


def test_a_stopped_issuer_is_answered_for_by_its_peers():
    """A planned stop must not turn known outcomes into unknown ones."""
    fleet = Fleet()
    done, unused, broken = (fleet.tasks["a"].issue("o") for _ in range(3))
    fleet.send_request("a", done, "o", "x")
    fleet.finish_request(0, DONE)
    fleet.send_request("a", broken, "o", "x")
    fleet.finish_request(0, ticket_outcome.UNKNOWN)
    fleet.stop("a")
    for name in "bcd":
        assert fleet.send_request(name, done, "o", "x") == ticket_step.Replay(
            DONE
        )
        assert isinstance(
            fleet.send_request(name, unused, "o", "x"), ticket_step.NotRun
        )
        assert isinstance(
            fleet.send_request(name, broken, "o", "x"), ticket_step.Unknown
        )
        assert isinstance(
            fleet.send_request(name, done, "p", "x"), ticket_step.Mismatch
        )
        assert isinstance(
            fleet.send_request(name, done, "o", "y"), ticket_step.Mismatch
        )


def test_handover_of_another_vm_is_refused():
    """A peer must not answer for an issuer that still runs."""
    fleet = Fleet()
    ticket = fleet.tasks["a"].issue("o")
    fleet.tasks["b"].issue("o")
    fleet.tasks["b"]._issuer = "a.i1"
    asyncio.run(fleet.tasks["b"].hand_over())
    assert fleet.network.pending
    fleet.network.deliver_all()
    assert isinstance(
        fleet.send_request("c", ticket, "o", "x"), ticket_step.Run
    )


def test_a_closing_vm_issues_and_starts_nothing():
    """A ticket that started after the handover would break "not run"."""
    desk = Fleet().tasks["a"]
    ticket = desk.issue("o")
    assert desk.close_unused() == 1
    assert isinstance(desk.begin(ticket, "o", "x"), ticket_step.NotRun)
    with pytest.raises(errors.TicketError):
        desk.issue("o")


async def test_waiters_get_the_outcome_even_if_one_is_cancelled():
    """A cancelled repeat must not cancel the others that wait."""
    desk = Fleet().tasks["a"]
    ticket = desk.issue("o")
    desk.begin(ticket, "o", "x")
    assert desk.begin(ticket, "o", "x") == ticket_step.Wait()
    waits = [asyncio.ensure_future(desk.wait(ticket)) for _ in range(3)]
    await asyncio.sleep(0)
    waits[0].cancel()
    await asyncio.sleep(0)
    desk.finish(ticket, DONE)
    assert [await fut for fut in waits[1:]] == [DONE, DONE]
    assert await desk.wait(ticket) == DONE


@pytest.mark.parametrize(
    "ticket",
    ["", "a", "a.i1", "a.i1.", "a.i1.01", "a.i1.-1", "a.i1.9", "a.i1.²"]
    + ["a.i1." + "9" * 30, "x" * 300 + ".i1.1"],
)
def test_a_ticket_that_was_never_issued_never_runs(ticket):
    desk = Fleet().tasks["a"]
    desk.issue("o")
    assert isinstance(desk.begin(ticket, "o", "x"), ticket_step.Mismatch)


def test_forward_goes_to_the_issuer_first_and_only_once():
    """A forwarding loop would never end."""
    fleet = Fleet()
    ticket = fleet.tasks["a"].issue("o")
    step = fleet.tasks["b"].begin(ticket, "o", "x")
    assert step.targets[0] == ticket_step.Target("a", "a:80")
    step = fleet.tasks["b"].begin(ticket, "o", "x", forwarded=True)
    assert isinstance(step, ticket_step.Unknown)


def test_a_late_report_of_an_earlier_attempt_is_ignored():
    """A repeated "not run" report would let a running ticket run again."""
    desk = Fleet().tasks["a"]
    ticket = desk.issue("o")
    first = desk.begin(ticket, "o", "x")
    desk.finish(ticket, ticket_outcome.NOT_RUN, first.attempt)
    assert desk.begin(ticket, "o", "x") == ticket_step.Run(2)
    desk.finish(ticket, ticket_outcome.NOT_RUN, first.attempt)
    assert desk.begin(ticket, "o", "x") == ticket_step.Wait()


def test_large_bodies_are_not_replayed_as_whole():
    """A truncated replay must not look like the whole answer."""
    fleet = Fleet()
    for size, whole in ((4096, True), (4097, False), (65_537, False)):
        ticket = fleet.tasks["a"].issue("o")
        fleet.send_request("a", ticket, "o", "x")
        fleet.finish_request(0, dataclasses.replace(DONE, body=b"x" * size))
        kept = fleet.send_request("a", ticket, "o", "x").outcome
        assert kept.whole == (size <= 65_536)
        asyncio.run(fleet.tasks["a"].hand_over())
        fleet.network.deliver_all()
        fleet.crash("a")
        assert fleet.send_request("b", ticket, "o", "x").outcome.whole == whole
        fleet.start("a")

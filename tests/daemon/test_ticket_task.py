"""Guards against a second run for a ticket and a false "not run"."""

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
    """Ticket tasks on a lossy network, and the runs at an upstream."""

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
            # The upstream may have run the request before the crash.
            if item[0] == name:
                self.runs[item[1]] = self.runs.get(item[1], 0) + 1
        self.running = [item for item in self.running if item[0] != name]
        self.update_views()

    def update_views(self):
        for name, task in self.tasks.items():
            live = {
                other: member.Member(self.make_heartbeat(other), 0.0)
                for other in self.tasks
                if other != name
            }
            task.on_fleet(fleet_view.FleetView(name, live))

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
        """Does what the ticket handler does before the upstream responds."""
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
            return ticket_step.Unknown("no VM knows the outcome")
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
def test_request_runs_at_most_once_and_not_run_is_true(seed):
    """Guards against a second run after any sequence of faults.

    The faults are crashes, restarts, stops, lost handover messages and lost
    responses. Hypothesis draws a seed and no list of actions, because it
    prefers lists that are too short to issue, run, hand over and retry a
    ticket.
    """
    rng = random.Random(seed)
    fleet = Fleet()
    tickets = []
    refused = set()
    for _ in range(60):
        action = rng.choice(ACTIONS)
        name = rng.choice(VMS)
        if action == "issue" and name in fleet.tasks:
            tickets.append(fleet.tasks[name].issue("o"))
        elif action == "call" and tickets:
            ticket = rng.choice(tickets[-4:])
            step = fleet.send_request(name, ticket, "o", "x")
            if isinstance(step, ticket_step.NotRun):
                assert fleet.runs.get(ticket, 0) == 0
                assert all(item[1] != ticket for item in fleet.running)
                refused.add(ticket)
            elif isinstance(step, ticket_step.Replay):
                assert fleet.runs[ticket] == 1
        elif action == "end":
            fleet.finish_request(rng.randrange(9), rng.choice(OUTCOMES))
        elif action == "crash":
            fleet.crash(name)
        elif action == "start" and name not in fleet.tasks:
            fleet.start(name)
        elif action == "stop":
            fleet.stop(name, rng.random() < 0.5, rng.random() < 0.3)
        elif action == "wait":
            fleet.clock.advance(rng.uniform(0, 700))
        elif action == "lose":
            # The caller lost the response and retries the request.
            tickets += tickets[-1:]
        assert max(fleet.runs.values(), default=0) <= 1
        assert not any(fleet.runs.get(ticket) for ticket in refused)


def test_peers_answer_for_a_stopped_issuer():
    """Guards against outcomes that a planned stop makes unknown."""
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
    """Guards against a peer that answers for an issuer that still runs."""
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


def test_stopping_vm_issues_no_ticket_and_starts_no_attempt():
    """Guards against an attempt that starts after "not run" was handed over."""
    task = Fleet().tasks["a"]
    ticket = task.issue("o")
    assert task.close_unused() == 1
    assert isinstance(task.begin(ticket, "o", "x"), ticket_step.NotRun)
    with pytest.raises(errors.TicketError):
        task.issue("o")


async def test_waiters_get_the_outcome_even_if_one_is_cancelled():
    """Guards against a cancelled retry that cancels the other waiters."""
    task = Fleet().tasks["a"]
    ticket = task.issue("o")
    task.begin(ticket, "o", "x")
    assert task.begin(ticket, "o", "x") == ticket_step.Wait()
    waits = [asyncio.ensure_future(task.wait(ticket)) for _ in range(3)]
    await asyncio.sleep(0)
    waits[0].cancel()
    await asyncio.sleep(0)
    task.finish(ticket, DONE)
    assert [await fut for fut in waits[1:]] == [DONE, DONE]
    assert await task.wait(ticket) == DONE


@pytest.mark.parametrize(
    "ticket",
    ["", "a", "a.i1", "a.i1.", "a.i1.01", "a.i1.-1", "a.i1.9", "a.i1.²"]
    + ["a.i1." + "9" * 30, "x" * 300 + ".i1.1"],
)
def test_ticket_that_was_not_issued_never_runs(ticket):
    task = Fleet().tasks["a"]
    task.issue("o")
    assert isinstance(task.begin(ticket, "o", "x"), ticket_step.Mismatch)


def test_forward_goes_to_the_issuer_first_and_only_once():
    """Guards against endless forwarding between VMs."""
    fleet = Fleet()
    ticket = fleet.tasks["a"].issue("o")
    step = fleet.tasks["b"].begin(ticket, "o", "x")
    assert step.targets[0] == ticket_step.Target("a", "a:80")
    step = fleet.tasks["b"].begin(ticket, "o", "x", forwarded=True)
    assert isinstance(step, ticket_step.Unknown)


def test_late_outcome_of_an_earlier_attempt_is_ignored():
    """Guards against a late "not run" that lets a running ticket run again."""
    task = Fleet().tasks["a"]
    ticket = task.issue("o")
    first = task.begin(ticket, "o", "x")
    task.finish(ticket, ticket_outcome.NOT_RUN, first.attempt)
    assert task.begin(ticket, "o", "x") == ticket_step.Run(2)
    task.finish(ticket, ticket_outcome.NOT_RUN, first.attempt)
    assert task.begin(ticket, "o", "x") == ticket_step.Wait()


def test_large_bodies_are_not_replayed_as_complete():
    """Guards against a truncated replay that looks complete."""
    fleet = Fleet()
    for size, whole in ((4096, True), (4097, False), (65_537, False)):
        ticket = fleet.tasks["a"].issue("o")
        fleet.send_request("a", ticket, "o", "x")
        fleet.finish_request(0, dataclasses.replace(DONE, body=b"x" * size))
        stored = fleet.send_request("a", ticket, "o", "x").outcome
        assert stored.whole == (size <= 65_536)
        asyncio.run(fleet.tasks["a"].hand_over())
        fleet.network.deliver_all()
        fleet.crash("a")
        assert fleet.send_request("b", ticket, "o", "x").outcome.whole == whole
        fleet.start("a")

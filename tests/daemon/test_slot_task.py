"""Tests of the slot task on virtual time with an unreliable network.

Guards against slots that are lost, assigned twice or assigned too late.
"""

import asyncio
import dataclasses
import random

import msgspec
from support import slot_simulation

from bramleyworks.messages import codec
from bramleyworks.messages import slot_cancel
from bramleyworks.messages import slot_loan
from bramleyworks.messages import slot_release
from bramleyworks.policy import shift
from bramleyworks_lab import virtual_loop

NEUTRAL = slot_simulation.NEUTRAL
OK = slot_simulation.OK


def two_vms(**fields):
    """Returns a simulation; A1 owns a1 and A2 owns a2, with one slot each."""
    doc = slot_simulation.make_document({"a1": 1, "a2": 1}, **fields)
    return slot_simulation.Simulation({"a1": "A1", "a2": "A2"}, doc)


def run(test, **fields):
    """Runs a test with two warmed-up VMs and checks that no slot leaks."""

    async def main():
        sim = two_vms(**fields)
        await asyncio.sleep(40.0)
        await test(sim)
        await asyncio.sleep(40.0)
        assert sim.used() == {"a1": 0, "a2": 0}
        await sim.stop()

    virtual_loop.run(main())


def held_types(sim):
    return [type(codec.decode(d, s).unwrap()) for s, _, d in sim.held]


def test_acquire_tries_own_slot_then_loan_then_times_out():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        assert (own.upstream, own.owner) == ("a1", None)
        assert task.try_acquire(sim.ask()) is None
        lent = (await task.acquire(sim.ask())).unwrap()
        assert (lent.upstream, lent.owner) == ("a2", "A2")
        started_s = sim.clock()
        refusal = (await task.acquire(sim.ask(0.5))).unwrap_err()
        assert "deadline" in refusal.reason
        assert 0.5 <= sim.clock() - started_s < 0.6
        task.release(own, OK)
        task.release(lent, OK)

    run(test)


def test_repeated_release_frees_nothing():
    async def test(sim):
        task = sim.tasks["A1"]
        first = task.try_acquire(sim.ask())
        task.release(first, OK)
        second = task.try_acquire(sim.ask())
        task.release(first, OK)
        assert task.try_acquire(sim.ask()) is None
        task.release(second, OK)

    run(test)


def test_late_slot_release_frees_no_other_loan():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        first = (await task.acquire(sim.ask())).unwrap()
        sim.hold = True
        task.release(first, OK)
        late_messages = list(sim.held)
        sim.release_held()
        sim.hold = False
        second = (await task.acquire(sim.ask())).unwrap()
        for message in late_messages * 2:
            sim.deliver(*message)
        assert sim.used()["a2"] == 1
        assert sim.tasks["A2"].try_acquire(sim.ask()) is None
        task.release(second, OK)
        task.release(own, OK)

    run(test)


def test_cancel_that_races_with_the_grant_returns_the_slot():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        lent = (await task.acquire(sim.ask())).unwrap()
        waiting = asyncio.create_task(task.acquire(sim.ask()))
        await asyncio.sleep(0.01)
        task.release(own, OK)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert waiting.cancelled()
        own = task.try_acquire(sim.ask())
        assert own is not None, "the slot leaked"
        task.release(own, OK)
        task.release(lent, OK)

    run(test)


def test_loan_after_the_caller_timed_out_is_released_at_once():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        sim.hold = True
        waiting = asyncio.create_task(task.acquire(sim.ask(0.2)))
        await asyncio.sleep(0.01)
        sim.release_held()
        assert held_types(sim) == [slot_loan.SlotLoan]
        loan = sim.held.pop()
        assert (await waiting).is_err()
        cancel = sim.held.pop()
        assert isinstance(
            codec.decode(cancel[2], "").unwrap(), slot_cancel.SlotCancel
        )
        # The cancellation has not arrived, so the loan itself must be released.
        sim.deliver(*loan)
        assert held_types(sim) == [slot_release.SlotRelease]
        sim.release_held()
        assert sim.used()["a2"] == 0
        sim.deliver(*cancel)
        sim.hold = False
        task.release(own, OK)

    run(test)


def test_loan_that_arrives_too_late_to_start_is_given_back():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        sim.hold = True
        waiting = asyncio.create_task(task.acquire(sim.ask(3.0)))
        await asyncio.sleep(0.01)
        sim.release_held()
        await asyncio.sleep(1.1)
        # The owner may have lost the upstream by now, and a new owner may have
        # read that the slot is free.
        sim.release_held()
        await asyncio.sleep(0)
        assert slot_release.SlotRelease in held_types(sim)
        assert not waiting.done()
        sim.hold = False
        sim.release_held()
        task.release(own, OK)
        task.release((await waiting).unwrap(), OK)

    run(test)


def test_lost_loan_is_reclaimed_by_the_cancellation():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        sim.hold = True
        waiting = asyncio.create_task(task.acquire(sim.ask(0.2)))
        await asyncio.sleep(0.01)
        sim.release_held()
        sim.held.clear()
        assert (await waiting).is_err()
        assert sim.used()["a2"] == 1
        sim.release_held()
        assert sim.used()["a2"] == 0
        sim.hold = False
        task.release(own, OK)

    run(test)


def test_duplicate_ask_and_loan_give_one_slot():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        sim.hold = True
        waiting = asyncio.create_task(task.acquire(sim.ask()))
        await asyncio.sleep(0.01)
        asks = list(sim.held)
        sim.release_held()
        for message in asks:
            sim.deliver(*message)
        assert held_types(sim) == [slot_loan.SlotLoan] * 2
        sim.release_held()
        lent = (await waiting).unwrap()
        assert sim.held == [], "the loan was released while in use"
        assert sim.used()["a2"] == 1
        sim.hold = False
        task.release(lent, OK)
        task.release(own, OK)

    run(test)


def test_release_that_could_not_be_sent_is_sent_again():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        lent = (await task.acquire(sim.ask())).unwrap()
        sim.links["A1"].refuse = 2
        task.release(lent, OK)
        assert sim.used()["a2"] == 1
        await asyncio.sleep(0.2)
        assert sim.used()["a2"] == 0
        task.release(own, OK)

    run(test)


def test_lost_release_does_not_keep_the_slot_idle():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        lent = (await task.acquire(sim.ask())).unwrap()
        sim.hold = True
        task.release(lent, OK)
        assert held_types(sim) == [slot_release.SlotRelease]
        sim.held.clear()
        sim.hold = False
        await asyncio.sleep(0.7)
        assert sim.used()["a2"] == 0
        assert not task._pending_releases, (
            "the confirmation must end the retries"
        )
        task.release(own, OK)

    run(test)


def test_waiting_request_does_not_poll():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        lent = (await task.acquire(sim.ask())).unwrap()
        calls = 0
        advance = task._advance_waiter

        def counted(*args):
            nonlocal calls
            calls += 1
            return advance(*args)

        task._advance_waiter = counted
        for _ in range(3):
            await task.acquire(sim.ask(2.0))
        assert calls < 3 * 2.0 / 0.05
        task.release(own, OK)
        task.release(lent, OK)

    run(test)


def test_owner_grants_nothing_after_a_pause_until_the_ledger_is_read():
    async def test(sim):
        task = sim.tasks["A1"]
        now_s = sim.clock()
        task._clock = lambda: now_s + 20.0
        assert task.try_acquire(sim.ask(100.0)) is None
        assert task.free_slots() == {}
        for later_s in (21.0, 22.0, 23.5):
            task._clock = lambda later_s=later_s: now_s + later_s
            task.tick()
        # Like a new owner, it waits for a load reading first.
        assert task.free_slots() == {"s": 0}
        task._clock = sim.clock
        task._last_call_s = sim.clock()
        task._hold_until_s = 0.0

    run(test)


def test_retries_stay_within_a_tenth_of_the_requests():
    async def test(sim):
        task = sim.tasks["A1"]
        assert not task.may_retry("s")
        for _ in range(30):
            task.release(task.try_acquire(sim.ask()), OK)
        allowed = [task.may_retry("s") for _ in range(5)]
        assert allowed == [True] * 3 + [False] * 2

    run(test)


def test_queue_of_one_organisation_is_bounded():
    async def test(sim):
        task = sim.tasks["A1"]
        own = task.try_acquire(sim.ask())
        lent = (await task.acquire(sim.ask())).unwrap()
        waits = [
            asyncio.create_task(task.acquire(sim.ask(0.5))) for _ in range(3)
        ]
        await asyncio.sleep(0.01)
        refusal = (await task.acquire(sim.ask())).unwrap_err()
        assert refusal.reason == "queue full"
        other = asyncio.create_task(task.acquire(sim.ask(0.5, "y")))
        await asyncio.sleep(0.01)
        assert not other.done()
        await asyncio.gather(*waits, other)
        task.release(own, OK)
        task.release(lent, OK)

    run(test, queue_limit=3)


def test_shifts_stay_under_the_cap_while_loans_are_delayed():
    async def main():
        sizes = {"a1": 1, "b1": 20}
        doc = slot_simulation.make_document(
            sizes, cap=5.0, shift_after_ms=20.0, reserve_slots=4
        )
        owners = {"a1": "A1", "b1": "B1"}
        sim = slot_simulation.Simulation(owners, doc, rate=5.0, burst=3.0)
        await asyncio.sleep(40.0)
        sim.delay_s = 0.4
        task = sim.tasks["A1"]
        own_slot = task.try_acquire(sim.ask())
        refused = []

        async def request():
            acquired = await task.acquire(sim.ask(20.0))
            if acquired.is_err():
                refused.append(acquired)
                return
            slot = acquired.unwrap()
            sim.begin("A1", slot)
            assert sim.running["b1"] <= 16, "the reserve was lent"
            await asyncio.sleep(1.0 + sim.rng.random())
            sim.end("A1", slot)

        requests = []
        for _ in range(250):
            requests.append(asyncio.create_task(request()))
            await asyncio.sleep(0.2)
        await asyncio.gather(*requests)
        _check_cap(sim.shifts, 5.0, 3.0)
        # The ramp starts at 10% of the cap and reaches the whole cap later.
        first_step_end_s = sim.shifts[0][0] + shift.RAMP_STEP_S
        first_step = [t for t, _, _ in sim.shifts if t < first_step_end_s]
        assert 1 <= len(first_step) <= 2
        assert len(sim.shifts) > 100
        task.release(own_slot, OK)
        sim.delay_s = 0.001
        await asyncio.sleep(35.0)
        assert sim.used() == {"a1": 0, "b1": 0}
        await sim.stop()

    virtual_loop.run(main())


def test_all_vms_send_a_small_share_to_the_same_upstream():
    async def main():
        doc = slot_simulation.make_document({"a1": 4, "a2": 2, "a3": 2})
        new = tuple(
            msgspec.structs.replace(u, version="v2" if u.name != "a1" else "v1")
            for u in doc.upstreams
        )
        doc = msgspec.structs.replace(doc, upstreams=new)
        owners = {"a1": "A1", "a2": "A1", "a3": "A2"}
        sim = slot_simulation.Simulation(owners, doc)
        await asyncio.sleep(40.0)
        taken = []
        for vm in ("A1", "A2", "A1"):
            ask = dataclasses.replace(sim.ask(), version="v2")
            taken.append((vm, (await sim.tasks[vm].acquire(ask)).unwrap()))
        names = [slot.upstream for _, slot in taken]
        assert names[0] == names[1] != names[2]
        for vm, slot in taken:
            sim.tasks[vm].release(slot, OK)
        await sim.stop()

    virtual_loop.run(main())


def _check_cap(shifts, rate, burst):
    for source, target in (("A", "B"), ("B", "A")):
        times = [t for t, s, g in shifts if (s, g) == (source, target)]
        for i, first_s in enumerate(times):
            for j in range(i, len(times)):
                max_shifts = burst + rate * (times[j] - first_s) + 1e-6
                assert j - i + 1 <= max_shifts, (
                    "shifts exceed the cap of the link"
                )


def _stress(seed, overload):
    """Runs random load on VMs with an unreliable network and checks all counts.

    Requests are cancelled, upstreams are drained and ownership changes at
    random; messages are lost, duplicated and delayed.

    Args:
        seed: Seed of all random choices.
        overload: Offered load divided by the capacity of the upstreams.

    Returns:
        The number of requests that ran and the number of shifts.
    """

    async def main():
        rng = random.Random(seed)
        sizes = {"a1": 3, "a2": 2, "b1": 3, "b2": 3}
        owners = {"a1": "A1", "a2": "A2", "b1": "B1", "b2": "B2"}
        service_fields = {
            "max_request_s": 4.0,
            "warmup_s": 1.0,
            "shift_after_ms": 50.0,
            "cap": 5.0,
        }
        doc = slot_simulation.make_document(sizes, **service_fields)
        sim = slot_simulation.Simulation(
            owners, doc, rate=5.0, burst=5.0, seed=seed
        )
        await asyncio.sleep(8.0)
        sim.loss, sim.duplication, sim.delay_s = 0.03, 0.1, 0.3
        seen = set()
        done = []
        drained_since = {}

        async def request(vm):
            ask = sim.ask(rng.choice((0.05, 0.5, 3.0)), rng.choice("xyz"))
            acquired = await sim.tasks[vm].acquire(ask)
            if acquired.is_err():
                return
            slot = acquired.unwrap()
            key = (slot.owner or vm, slot.loan_id)
            assert key not in seen, "slot assigned twice"
            seen.add(key)
            assert sim.clock() < min(ask.deadline_s, slot.start_by_s)
            drained_s = drained_since.get(slot.upstream)
            assert drained_s is None, "a draining upstream got a request"
            sim.begin(vm, slot)
            done.append(slot)
            assert sim.running[slot.upstream] <= sizes[slot.upstream]
            work_s = rng.expovariate(1 / 0.3)
            try:
                await asyncio.sleep(min(work_s, slot.expires_s - sim.clock()))
            finally:
                sim.end(vm, slot, rng.choice((OK, OK, OK, OK, NEUTRAL)))

        tasks = []
        rate = overload * 11 / 0.3
        for _ in range(400):
            await asyncio.sleep(rng.expovariate(rate))
            vm = rng.choice(("A1", "A1", "A1", "A2", "B1", "B2"))
            task = asyncio.create_task(request(vm))
            tasks.append(task)
            if rng.random() < 0.1:
                sim.loop.call_later(rng.random(), task.cancel)
            if rng.random() < 0.01:
                drained = rng.choice(([], [rng.choice(list(sizes))]))
                drained_since.clear()
                drained_since.update(dict.fromkeys(drained, sim.clock()))
                sim.configure(
                    slot_simulation.make_document(
                        sizes, drained, **service_fields
                    )
                )
            if rng.random() < 0.01:
                name = rng.choice(list(sizes))
                region = name[0].upper()
                sim.owners[name] = region + rng.choice("12")
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for res in results:
            if isinstance(res, AssertionError):
                raise res
        _check_cap(sim.shifts, 5.0, 5.0)
        sim.loss = 0.0
        await asyncio.sleep(12.0)
        assert set(sim.used().values()) == {0}, "a slot was not released"
        for task in sim.tasks.values():
            assert not task._borrower._in_use
            assert not task._borrower._asks
        await sim.stop()
        return len(done), len(sim.shifts)

    return virtual_loop.run(main())


def test_counts_stay_correct_on_an_unreliable_network():
    shifts = 0
    for seed in range(12):
        _, shifted = _stress(seed, 0.7 if seed % 2 else 1.5)
        shifts += shifted
    assert shifts > 20, "too few shifts to test them"


def test_enough_requests_run_on_an_unreliable_network():
    """Guards against loan requests that hold slots which nobody uses."""
    for seed in range(12):
        ran, _ = _stress(seed, 0.7 if seed % 2 else 1.5)
        assert ran > 100, f"seed {seed}"

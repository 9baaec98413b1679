"""Guards against lost, doubled and late slots at the edge of the task."""

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
    """VM A1 owns a1 and A2 owns a2, with one slot each."""
    doc = slot_simulation.make_document({"a1": 1, "a2": 1}, **fields)
    return slot_simulation.Simulation({"a1": "A1", "a2": "A2"}, doc)


def run(test, **fields):
    """Runs a test with two settled VMs, and checks that nothing leaks."""

    async def main():
        world = two_vms(**fields)
        await asyncio.sleep(40.0)
        await test(world)
        await asyncio.sleep(40.0)
        assert world.used() == {"a1": 0, "a2": 0}
        await world.stop()

    virtual_loop.run(main())


def kinds(world):
    return [type(codec.decode(d, s).unwrap()) for s, _, d in world.held]


def test_own_slot_first_then_a_loan_then_the_deadline():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        assert (own.upstream, own.owner) == ("a1", None)
        assert task.try_acquire(world.ask()) is None
        lent = (await task.acquire(world.ask())).unwrap()
        assert (lent.upstream, lent.owner) == ("a2", "A2")
        began_s = world.clock()
        refusal = (await task.acquire(world.ask(0.5))).unwrap_err()
        assert "deadline" in refusal.reason
        assert 0.5 <= world.clock() - began_s < 0.6
        task.release(own, OK)
        task.release(lent, OK)

    run(test)


def test_repeated_release_frees_nothing():
    async def test(world):
        task = world.tasks["A1"]
        first = task.try_acquire(world.ask())
        task.release(first, OK)
        second = task.try_acquire(world.ask())
        task.release(first, OK)
        assert task.try_acquire(world.ask()) is None
        task.release(second, OK)

    run(test)


def test_late_slot_release_frees_no_other_loan():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        first = (await task.acquire(world.ask())).unwrap()
        world.hold = True
        task.release(first, OK)
        late = list(world.held)
        world.release_held()
        world.hold = False
        second = (await task.acquire(world.ask())).unwrap()
        for message in late * 2:
            world.deliver(*message)
        assert world.used()["a2"] == 1
        assert world.tasks["A2"].try_acquire(world.ask()) is None
        task.release(second, OK)
        task.release(own, OK)

    run(test)


def test_cancel_that_races_with_the_grant_returns_the_slot():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        lent = (await task.acquire(world.ask())).unwrap()
        waiting = asyncio.create_task(task.acquire(world.ask()))
        await asyncio.sleep(0.01)
        task.release(own, OK)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert waiting.cancelled()
        own = task.try_acquire(world.ask())
        assert own is not None, "the slot was lost"
        task.release(own, OK)
        task.release(lent, OK)

    run(test)


def test_loan_after_the_asker_gave_up_is_released_at_once():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        world.hold = True
        waiting = asyncio.create_task(task.acquire(world.ask(0.2)))
        await asyncio.sleep(0.01)
        world.release_held()
        assert kinds(world) == [slot_loan.SlotLoan]
        loan = world.held.pop()
        assert (await waiting).is_err()
        cancel = world.held.pop()
        assert isinstance(
            codec.decode(cancel[2], "").unwrap(), slot_cancel.SlotCancel
        )
        # The cancellation is lost here; the loan itself must come back.
        world.deliver(*loan)
        assert kinds(world) == [slot_release.SlotRelease]
        world.release_held()
        assert world.used()["a2"] == 0
        world.deliver(*cancel)
        world.hold = False
        task.release(own, OK)

    run(test)


def test_loan_that_arrives_too_late_to_start_is_given_back():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        world.hold = True
        waiting = asyncio.create_task(task.acquire(world.ask(3.0)))
        await asyncio.sleep(0.01)
        world.release_held()
        await asyncio.sleep(1.1)
        # The owner may have lost the upstream by now, and a new one may have
        # read that the slot is free.
        world.release_held()
        await asyncio.sleep(0)
        assert slot_release.SlotRelease in kinds(world)
        assert not waiting.done()
        world.hold = False
        world.release_held()
        task.release(own, OK)
        task.release((await waiting).unwrap(), OK)

    run(test)


def test_lost_loan_is_taken_back_by_the_cancellation():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        world.hold = True
        waiting = asyncio.create_task(task.acquire(world.ask(0.2)))
        await asyncio.sleep(0.01)
        world.release_held()
        world.held.clear()
        assert (await waiting).is_err()
        assert world.used()["a2"] == 1
        world.release_held()
        assert world.used()["a2"] == 0
        world.hold = False
        task.release(own, OK)

    run(test)


def test_repeated_ask_and_loan_give_one_slot():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        world.hold = True
        waiting = asyncio.create_task(task.acquire(world.ask()))
        await asyncio.sleep(0.01)
        asks = list(world.held)
        world.release_held()
        for message in asks:
            world.deliver(*message)
        assert kinds(world) == [slot_loan.SlotLoan] * 2
        world.release_held()
        lent = (await waiting).unwrap()
        assert world.held == [], "the loan in use was released"
        assert world.used()["a2"] == 1
        world.hold = False
        task.release(lent, OK)
        task.release(own, OK)

    run(test)


def test_release_that_could_not_be_sent_is_sent_again():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        lent = (await task.acquire(world.ask())).unwrap()
        world.links["A1"].refuse = 2
        task.release(lent, OK)
        assert world.used()["a2"] == 1
        await asyncio.sleep(0.2)
        assert world.used()["a2"] == 0
        task.release(own, OK)

    run(test)


def test_lost_release_does_not_keep_the_slot_idle():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        lent = (await task.acquire(world.ask())).unwrap()
        world.hold = True
        task.release(lent, OK)
        assert kinds(world) == [slot_release.SlotRelease]
        world.held.clear()
        world.hold = False
        await asyncio.sleep(0.7)
        assert world.used()["a2"] == 0
        assert not task._pending_releases, "the receipt ends the repeats"
        task.release(own, OK)

    run(test)


def test_waiting_does_not_poll_without_need():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        lent = (await task.acquire(world.ask())).unwrap()
        calls = 0
        advance = task._advance_waiter

        def counted(*args):
            nonlocal calls
            calls += 1
            return advance(*args)

        task._advance_waiter = counted
        for _ in range(3):
            await task.acquire(world.ask(2.0))
        assert calls < 3 * 2.0 / 0.05
        task.release(own, OK)
        task.release(lent, OK)

    run(test)


def test_owner_stops_after_a_pause_until_the_ledger_is_read():
    async def test(world):
        task = world.tasks["A1"]
        now_s = world.clock()
        task._clock = lambda: now_s + 20.0
        assert task.try_acquire(world.ask(100.0)) is None
        assert task.free_slots() == {}
        for later_s in (21.0, 22.0, 23.5):
            task._clock = lambda later_s=later_s: now_s + later_s
            task.tick()
        # It counts as a new owner and waits for a load reading.
        assert task.free_slots() == {"s": 0}
        task._clock = world.clock
        task._last_call_s = world.clock()
        task._hold_until_s = 0.0

    run(test)


def test_retries_stay_within_a_tenth_of_the_requests():
    async def test(world):
        task = world.tasks["A1"]
        assert not task.may_retry("s")
        for _ in range(30):
            task.release(task.try_acquire(world.ask()), OK)
        allowed = [task.may_retry("s") for _ in range(5)]
        assert allowed == [True] * 3 + [False] * 2

    run(test)


def test_queue_of_one_organisation_is_bounded():
    async def test(world):
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        lent = (await task.acquire(world.ask())).unwrap()
        waits = [
            asyncio.create_task(task.acquire(world.ask(0.5))) for _ in range(3)
        ]
        await asyncio.sleep(0.01)
        refusal = (await task.acquire(world.ask())).unwrap_err()
        assert refusal.reason == "queue full"
        other = asyncio.create_task(task.acquire(world.ask(0.5, "y")))
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
        world = slot_simulation.Simulation(owners, doc, rate=5.0, burst=3.0)
        await asyncio.sleep(40.0)
        world.delay_s = 0.4
        task = world.tasks["A1"]
        own = task.try_acquire(world.ask())
        refused = []

        async def request():
            got = await task.acquire(world.ask(20.0))
            if got.is_err():
                refused.append(got)
                return
            slot = got.unwrap()
            world.begin("A1", slot)
            assert world.running["b1"] <= 16, "the reserve was lent"
            await asyncio.sleep(1.0 + world.rng.random())
            world.end("A1", slot)

        waits = []
        for _ in range(250):
            waits.append(asyncio.create_task(request()))
            await asyncio.sleep(0.2)
        await asyncio.gather(*waits)
        _check_cap(world.shifts, 5.0, 3.0)
        # The ramp starts at 10% of the cap; then the whole cap is used.
        first_end_s = world.shifts[0][0] + shift.RAMP_STEP_S
        first = [t for t, _, _ in world.shifts if t < first_end_s]
        assert 1 <= len(first) <= 2
        assert len(world.shifts) > 100
        task.release(own, OK)
        world.delay_s = 0.001
        await asyncio.sleep(35.0)
        assert world.used() == {"a1": 0, "b1": 0}
        await world.stop()

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
        world = slot_simulation.Simulation(owners, doc)
        await asyncio.sleep(40.0)
        taken = []
        for vm in ("A1", "A2", "A1"):
            ask = dataclasses.replace(world.ask(), version="v2")
            taken.append((vm, (await world.tasks[vm].acquire(ask)).unwrap()))
        names = [slot.upstream for _, slot in taken]
        assert names[0] == names[1] != names[2]
        for vm, slot in taken:
            world.tasks[vm].release(slot, OK)
        await world.stop()

    virtual_loop.run(main())


def _check_cap(shifts, rate, burst):
    for source, target in (("A", "B"), ("B", "A")):
        times = [t for t, s, g in shifts if (s, g) == (source, target)]
        for i, first_s in enumerate(times):
            for j in range(i, len(times)):
                most = burst + rate * (times[j] - first_s) + 1e-6
                assert j - i + 1 <= most, "shifts over the cap"


def _stress(seed, overload):
    """Random requests, cancellations, drains and moves on a bad network."""

    async def main():
        rng = random.Random(seed)
        sizes = {"a1": 3, "a2": 2, "b1": 3, "b2": 3}
        owners = {"a1": "A1", "a2": "A2", "b1": "B1", "b2": "B2"}
        fields = {
            "max_request_s": 4.0,
            "warmup_s": 1.0,
            "shift_after_ms": 50.0,
            "cap": 5.0,
        }
        doc = slot_simulation.make_document(sizes, **fields)
        world = slot_simulation.Simulation(
            owners, doc, rate=5.0, burst=5.0, seed=seed
        )
        await asyncio.sleep(8.0)
        world.loss, world.duplication, world.delay_s = 0.03, 0.1, 0.3
        seen = set()
        done = []
        last_drain = {}

        async def request(vm):
            ask = world.ask(rng.choice((0.05, 0.5, 3.0)), rng.choice("xyz"))
            got = await world.tasks[vm].acquire(ask)
            if got.is_err():
                return
            slot = got.unwrap()
            key = (slot.owner or vm, slot.loan_id)
            assert key not in seen, "slot given twice"
            seen.add(key)
            assert world.clock() < min(ask.deadline_s, slot.start_by_s)
            drained_s = last_drain.get(slot.upstream)
            assert drained_s is None, "a draining upstream got work"
            world.begin(vm, slot)
            done.append(slot)
            assert world.running[slot.upstream] <= sizes[slot.upstream]
            work_s = rng.expovariate(1 / 0.3)
            try:
                await asyncio.sleep(min(work_s, slot.expires_s - world.clock()))
            finally:
                world.end(vm, slot, rng.choice((OK, OK, OK, OK, NEUTRAL)))

        tasks = []
        rate = overload * 11 / 0.3
        for _ in range(400):
            await asyncio.sleep(rng.expovariate(rate))
            vm = rng.choice(("A1", "A1", "A1", "A2", "B1", "B2"))
            task = asyncio.create_task(request(vm))
            tasks.append(task)
            if rng.random() < 0.1:
                world.loop.call_later(rng.random(), task.cancel)
            if rng.random() < 0.01:
                drained = rng.choice(([], [rng.choice(list(sizes))]))
                last_drain.clear()
                last_drain.update(dict.fromkeys(drained, world.clock()))
                world.configure(
                    slot_simulation.make_document(sizes, drained, **fields)
                )
            if rng.random() < 0.01:
                name = rng.choice(list(sizes))
                region = name[0].upper()
                world.owners[name] = region + rng.choice("12")
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for res in results:
            if isinstance(res, AssertionError):
                raise res
        _check_cap(world.shifts, 5.0, 5.0)
        world.loss = 0.0
        await asyncio.sleep(12.0)
        assert set(world.used().values()) == {0}, "a slot stays taken"
        for task in world.tasks.values():
            assert not task._borrower._in_use
            assert not task._borrower._asks
        await world.stop()
        return len(done), len(world.shifts)

    return virtual_loop.run(main())


def test_tasks_together_keep_all_counts_on_a_bad_network():
    shifts = 0
    for seed in range(12):
        _, shifted = _stress(seed, 0.7 if seed % 2 else 1.5)
        shifts += shifted
    assert shifts > 20, "no shift was exercised"


def test_tasks_together_run_enough_requests_on_a_bad_network():
    """Guards against asks that hold slots while nobody uses them."""
    for seed in range(12):
        ran, _ = _stress(seed, 0.7 if seed % 2 else 1.5)
        assert ran > 100, f"seed {seed}"

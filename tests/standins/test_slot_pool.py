"""Guards against slots of the stand-in upstream that leak."""

import asyncio

from bramleyworks_standins import slot_pool


async def test_slot_handed_to_a_cancelled_waiter_is_not_lost():
    pool = slot_pool.SlotPool(1, 2)
    assert await pool.acquire(None)
    first = asyncio.create_task(pool.acquire(None))
    second = asyncio.create_task(pool.acquire(None))
    await asyncio.sleep(0)
    pool.release()
    first.cancel()
    assert await asyncio.wait_for(second, 5.0)
    assert pool.busy == 1
    pool.release()
    assert pool.busy == 0


async def test_timed_out_wait_is_removed_from_the_queue():
    pool = slot_pool.SlotPool(1, 1)
    assert await pool.acquire(None)
    assert not await pool.acquire(0.01)
    waiting = asyncio.create_task(pool.acquire(None))
    await asyncio.sleep(0)
    pool.release()
    assert await asyncio.wait_for(waiting, 5.0)

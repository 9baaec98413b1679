"""Proofs that each caller gets the whole answer to its own request (I8)."""

import asyncio

import pytest
from support import deployment

pytestmark = pytest.mark.asyncio(loop_scope="session")

REQUESTS = 150


async def _send_distinct(running, name):
    """Sends requests with distinct paths through all VMs on few connections.

    Returns:
        The replies with the paths asked for.
    """
    part = running.parts[name]

    async def one(session, i):
        path = f"/{name}/{i}"
        url = running.url(deployment.VM_IDS[i % 3], path)
        return path, await deployment.send(session, url, key_text=part.key)

    async with deployment.caller(connections=9) as session:
        return await asyncio.gather(*(one(session, i) for i in range(REQUESTS)))


@pytest.mark.parametrize("after_ms", [0.0, 5.0])
@pytest.mark.parametrize("name", ["echo", "mute"])
async def test_second_answer_reaches_no_other_caller(running, name, after_ms):
    """Guards against a pooled connection that delivers a stale answer.

    The stale answer comes at once, or later when the connection may already
    carry the next request; the upstream repeats the request's id or not.
    """
    for upstream in running.parts[name].names:
        await running.fleet.faults(
            upstream,
            echo_id=name == "echo",
            extra_share=0.5,
            extra_after_ms=after_ms,
            late_share=0.2,
            late_ms=20.0,
        )
    replies = await _send_distinct(running, name)
    served = [item for item in replies if item[1].status == 200]
    assert [
        (path, reply.body)
        for path, reply in served
        if reply.json.get("path") != path
    ] == []
    assert len(served) >= REQUESTS // 2, [r[1].body for r in replies][:9]


async def test_short_body_is_never_taken_for_a_whole_one(running):
    """Guards against a broken answer that the caller reads as complete."""
    await running.fleet.faults("short-1", short_share=1.0)
    key_text = running.parts["short"].key
    async with deployment.caller() as session:
        replies = [
            await deployment.send(
                session, running.url("e1", f"/short/{i}"), key_text=key_text
            )
            for i in range(2)
        ]
    # The status line was sent, so the connection has to break.
    assert [reply.status for reply in replies] == [0, 0]

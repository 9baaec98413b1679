"""What counts as the end of an upstream under a request."""

import asyncio
import contextlib
import math
import time

import pytest
from support import ports

from bramleyworks.gateway import crash_detector
from bramleyworks.gateway import event_log
from bramleyworks.gateway import instance
from bramleyworks.gateway import registry
from bramleyworks.policy import quarantine


@pytest.fixture
def known(tmp_path):
    return registry.Registry("one", {"one-a": "one"}, time.monotonic)


@pytest.fixture
def build_detector(known, tmp_path):
    with open(tmp_path / "log", "wb") as out:

        def build(probe_others, peer_contact_age_s):
            return crash_detector.CrashDetector(
                quarantine.Quarantine(time.monotonic),
                "vm1",
                known,
                probe_others,
                lambda: peer_contact_age_s,
                lambda: (),
                lambda: None,
                event_log.EventLog("vm1", out.fileno()),
            )

        yield build


@pytest.fixture
def detector(build_detector):
    return build_detector(_links_work, math.inf)


async def _links_work():
    return True


async def _links_are_down():
    return False


def _register(known, port, is_draining=False, started_ms=1):
    known.register(
        "u1",
        instance.Instance(
            "u1",
            "desk",
            "127.0.0.1",
            port,
            "one-a",
            "v1",
            4,
            is_draining,
            0.0,
            started_ms,
        ),
    )
    return known.get("u1")


async def _blame(detector, upstream):
    detector.record_lost_connection(upstream, "f")
    await asyncio.sleep(0.8)
    entry = detector.quarantine.get("f")
    return entry.blame if entry else 0


async def test_upstream_that_refuses_connections_has_ended(known, detector):
    upstream = _register(known, ports.free_port())
    assert await _blame(detector, upstream) == 1
    assert upstream.is_excluded
    # It is the same end, whoever reports it.
    assert await _blame(detector, upstream) == 1


async def test_reset_connection_of_a_live_upstream_is_no_end(known, detector):
    """Guards against quarantine after resets, cuts and idle timeouts."""
    port = ports.free_port()
    async with contextlib.AsyncExitStack() as stack:

        async def accept(reader, writer):
            stack.callback(writer.transport.abort)

        server = await asyncio.start_server(accept, "127.0.0.1", port)
        stack.callback(server.close)
        upstream = _register(known, port)
        assert await _blame(detector, upstream) == 0
        assert not upstream.is_excluded


async def test_planned_stop_is_no_end(known, detector):
    port = ports.free_port()
    upstream = _register(known, port)
    _register(known, port, is_draining=True)
    assert await _blame(detector, upstream) == 0
    known.register("u1", None)
    assert await _blame(detector, upstream) == 0


async def test_restarted_upstream_is_used_at_once(known, detector):
    """Guards good upstreams against what a request did to them before."""
    port = ports.free_port()
    upstream = _register(known, port)
    assert await _blame(detector, upstream) == 1
    assert not _register(known, port, started_ms=2).is_excluded


@pytest.mark.parametrize(
    ("peer_contact_age_s", "blame"), [(0.1, 0), (math.inf, 1)]
)
async def test_vm_that_is_cut_off_blames_no_request_for_ended_upstreams(
    known, build_detector, peer_contact_age_s, blame
):
    cut_off = build_detector(_links_are_down, peer_contact_age_s)
    upstream = _register(known, ports.free_port())
    assert await _blame(cut_off, upstream) == blame
    assert upstream.is_excluded == bool(blame)


async def test_upstream_that_responds_to_another_vm_has_not_ended(
    known, detector
):
    upstream = _register(known, ports.free_port())
    detector.record_lost_connection(upstream, "f")
    await asyncio.sleep(0.3)
    upstream.record_peer_load(1, 0.05)
    await asyncio.sleep(0.5)
    assert detector.quarantine.get("f").blame == 0

"""Health checks of a VM that may be cut off."""

import asyncio
import contextlib
import time

import pytest
from support import ports

from bramleyworks.gateway import cluster_state
from bramleyworks.gateway import event_log
from bramleyworks.gateway import instance
from bramleyworks.gateway import isolation


@pytest.fixture
def cluster_and_isolation(tmp_path):
    clock = time.monotonic
    with open(tmp_path / "log", "wb") as out:
        log = event_log.EventLog("vm1", out.fileno(), clock)
        cluster = cluster_state.ClusterState(
            "one", {"one-a": "one"}, log, clock
        )
        yield cluster, isolation.Isolation(cluster, lambda: None, log, clock)


def _register(cluster, name, port):
    cluster.registry.register(
        name,
        instance.Instance(
            name, "desk", "127.0.0.1", port, "one-a", "v1", 4, False, 0.0, 1
        ),
    )
    return cluster.registry.get(name)


@contextlib.asynccontextmanager
async def _server(response):
    """Responds the same to all requests; yields its port."""
    async with contextlib.AsyncExitStack() as stack:

        async def accept(reader, writer):
            stack.callback(writer.transport.abort)
            with contextlib.suppress(asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(response)

        port = ports.free_port()
        server = await asyncio.start_server(accept, "127.0.0.1", port)
        stack.callback(server.close)
        yield port


@pytest.mark.parametrize(
    ("status", "header", "may_be_probed"),
    [
        (b"200 OK", b"", True),
        (b"503 Busy", b"", True),
        (b"200 OK", b"Server-Leaving: 1\r\n", False),
        (b"503 Busy", b"Retry-After: 2.5\r\n", False),
        (b"503 Busy", b"Retry-After: 0\r\nServer-Leaving: 1\r\n", False),
    ],
)
async def test_wishes_in_responses_to_health_checks_are_kept(
    cluster_and_isolation, status, header, may_be_probed
):
    cluster, detector = cluster_and_isolation
    response = b"HTTP/1.1 %b\r\n%bContent-Length: 0\r\n\r\n" % (status, header)
    async with _server(response) as port:
        upstream = _register(cluster, "u1", port)
        assert await detector.probe()
        assert upstream.may_be_probed == may_be_probed
        upstream.close()


async def test_vm_that_reaches_one_of_many_upstreams_is_not_isolated(
    cluster_and_isolation,
):
    """Guards against taking upstreams that are down for links that are."""
    cluster, detector = cluster_and_isolation
    async with _server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") as port:
        for number in range(6):
            _register(cluster, f"down{number}", ports.free_port())
        live = _register(cluster, "u1", port)
        for number in range(6, 11):
            _register(cluster, f"down{number}", ports.free_port())
        for number in range(11):
            detector.record_failure(f"down{number}", time.monotonic())
        await asyncio.sleep(0.2)
        assert not detector.is_isolated
        detector.close()
        live.close()


async def test_response_during_the_probes_shows_that_the_links_work(
    cluster_and_isolation,
):
    """Guards against a VM that is cut off from most upstreams only."""
    cluster, detector = cluster_and_isolation
    async with _server(b"") as port:
        silent = _register(cluster, "u1", port)
        for name in ("u1", "u2"):
            detector.record_failure(name, time.monotonic())
        await asyncio.sleep(isolation.PROBE_TIMEOUT_S / 2)
        # An upstream that was not probed responds to a request.
        detector.record_contact("desk")
        await asyncio.sleep(isolation.PROBE_TIMEOUT_S)
        assert not detector.is_isolated
        detector.close()
        silent.close()


@pytest.mark.parametrize(
    ("is_silent", "responds_to_others", "is_back"),
    [(True, True, True), (False, True, False), (True, False, False)],
)
async def test_upstream_that_only_this_vm_lost_is_back_when_its_link_is(
    cluster_and_isolation, is_silent, responds_to_others, is_back
):
    """Guards against the wait between half-open probes, up to 16 s."""
    cluster, detector = cluster_and_isolation
    async with _server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") as port:
        upstream = _register(cluster, "u1", port)
        for _ in range(3):
            upstream.record_outcome(True, False, is_silent)
        for _ in range(3):
            upstream.record_outcome(True, True, is_silent)
        assert upstream.is_excluded
        for _ in range(8):
            if responds_to_others:
                upstream.record_peer_load(1, 0.01)
            detector.check()
            await asyncio.sleep(0.2)
        assert upstream.is_excluded != is_back
        detector.close()
        upstream.close()

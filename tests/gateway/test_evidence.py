"""Evidence that the canary analysis uses against a new version."""

import time

import pytest
from support import ports

from bramleyworks.gateway import attempts
from bramleyworks.gateway import cluster_state
from bramleyworks.gateway import event_log
from bramleyworks.gateway import instance
from bramleyworks.gateway import move_order
from bramleyworks.gateway import request
from bramleyworks.gateway import request_context
from bramleyworks.gateway import route
from bramleyworks.gateway import trace
from bramleyworks.gateway import traffic
from bramleyworks.gateway import upstream
from bramleyworks.policy import placement

ROUTE = route.Route(
    "stock",
    "shop.example",
    "/stock/",
    True,
    (route.WeightedService("desk", 1.0),),
    1.0,
    2,
    0.3,
    1,
    True,
    True,
    frozenset(),
)


@pytest.fixture
def cluster_and_runner(tmp_path):
    clock = time.monotonic
    with open(tmp_path / "log", "wb") as out:
        log = event_log.EventLog("vm1", out.fileno(), clock)
        cluster = cluster_state.ClusterState(
            "one", {"one-a": "one"}, log, clock
        )
        order = move_order.MoveOrder("desk", "v2", 10.0)
        cluster.moves.update_order("desk", order)
        attempt_runner = attempts.Attempts(
            cluster,
            traffic.Traffic("one", 0.15, clock),
            lambda _: False,
            clock,
        )
        yield cluster, attempt_runner


async def test_unreachable_upstream_is_no_evidence_against_its_version(
    cluster_and_runner,
):
    """Guards against aborting the move to a good version.

    In recorded traffic, upstreams of a good version were lost, and failed
    connections to them must not count as bad responses.
    """
    cluster, attempt_runner = cluster_and_runner
    port = ports.free_port()
    lost = upstream.Upstream(
        instance.Instance(
            "n1", "desk", "127.0.0.1", port, "one-a", "v2", 4, False, 0.0, 1
        ),
        time.monotonic,
    )
    now_s = time.monotonic()
    context = request_context.RequestContext(
        ROUTE,
        "desk",
        None,
        b"r1",
        "",
        now_s + 1.0,
        now_s + 1.0,
        now_s + 0.3,
        frozenset(),
        1,
    )
    req = request.Request(lambda _: None)
    choice = placement.Choice("n1", 0.1, 0.0, 0.1)
    for _ in range(10):
        await attempt_runner.run(
            req, None, context, lost, choice, b"", trace.Trace()
        )
    assert lost.health.excluded
    (report,) = cluster.report_moves().values()
    assert report.counts == {}

"""Which version serves when a move is over."""

import contextlib
import time

from bramleyworks.gateway import cluster_state
from bramleyworks.gateway import event_log
from bramleyworks.gateway import instance
from bramleyworks.gateway import move_order
from bramleyworks.gateway import move_state
from bramleyworks.gateway import store_updates


def _instance(name, version, is_draining=False):
    return instance.Instance(
        name,
        "desk",
        "127.0.0.1",
        int(name[1:]),
        "one-a",
        version,
        4,
        is_draining,
        0.0,
        1,
    )


@contextlib.contextmanager
def _cluster(tmp_path):
    with open(tmp_path / "log", "wb") as out:
        yield cluster_state.ClusterState(
            "one",
            {"one-a": "one"},
            event_log.EventLog("vm1", out.fileno()),
            time.monotonic,
        )


def test_service_keeps_its_version_before_a_configuration_names_it(tmp_path):
    """Guards against requests at upstreams that no move has named."""
    with _cluster(tmp_path) as cluster:
        for name, version in (("i1", "v1"), ("i2", "v2"), ("i3", "v2")):
            cluster.apply(
                store_updates.InstanceUpdate(name, _instance(name, version), 1)
            )
            cluster.settle_base_versions()
        assert cluster.eligible_versions("desk") == {"v1"}


def test_vm_that_started_with_the_target_only_finds_the_old_version(tmp_path):
    """Guards against the target of a move that is taken for the old version."""
    with _cluster(tmp_path) as cluster:
        order = move_order.MoveOrder("desk", "v2", 8.0)
        cluster.apply(store_updates.MoveOrderUpdate("desk", order))
        for name, version in (("i1", "v2"), ("i2", "v1")):
            cluster.apply(
                store_updates.InstanceUpdate(name, _instance(name, version), 1)
            )
            cluster.settle_base_versions()
        state = move_state.MoveState("v2", move_state.MovePhase.REVERTED)
        cluster.apply(store_updates.MoveStateUpdate("desk", state))
        assert cluster.eligible_versions("desk") == {"v1"}


def test_vm_that_started_during_a_move_returns_to_the_old_version(tmp_path):
    """Guards against refusing all requests once order and state are gone."""
    with _cluster(tmp_path) as cluster:
        order = move_order.MoveOrder("desk", "v2", 8.0)
        cluster.apply(store_updates.MoveOrderUpdate("desk", order))
        for name, version in (
            ("i1", "v1"),
            ("i2", "v1"),
            ("i3", "v2"),
            ("i4", "v2"),
        ):
            cluster.apply(
                store_updates.InstanceUpdate(name, _instance(name, version), 1)
            )
        assert cluster.eligible_versions("desk") == {"v1", "v2"}
        state = move_state.MoveState("v2", move_state.MovePhase.REVERTED)
        cluster.apply(store_updates.MoveStateUpdate("desk", state))
        assert cluster.eligible_versions("desk") == {"v1"}
        cluster.apply(store_updates.MoveOrderUpdate("desk", None))
        cluster.apply(store_updates.MoveStateUpdate("desk", None))
        assert cluster.eligible_versions("desk") == {"v1"}

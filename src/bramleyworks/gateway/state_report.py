"""Logs the state of a VM so that its decisions can be explained."""

import asyncio
import heapq
from collections.abc import Iterable

from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import exchange
from bramleyworks.gateway import isolation as isolation_module
from bramleyworks.gateway import peers as peers_module
from bramleyworks.gateway import service_pressure
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.gateway import store_sync
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import work_factor

REPORT_INTERVAL_S = 2.0
# Bounds the length of a line.
MAX_REPORTED_UPSTREAMS = 64


async def run(
    cluster: cluster_state_module.ClusterState,
    traffic: traffic_module.Traffic,
    exchanges: exchange.Exchanges,
    pressure: service_pressure.ServicePressure,
    peers: peers_module.Peers,
    replica: store_replica_module.StoreReplica,
    sync: store_sync.StoreSync,
    isolation: isolation_module.Isolation,
    log: event_log.EventLog,
) -> None:
    """Writes a ``state`` line at a fixed interval until cancelled."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        demand = traffic.demand()
        log.write(
            "state",
            running=exchanges.running,
            peers=peers.live_vm_count() - 1,
            revision=replica.position.revision,
            era=replica.position.era,
            lost=replica.lost_count(),
            config=cluster.config.version if cluster.config else 0,
            isolated=isolation.is_isolated,
            store_away=sync.is_store_unavailable,
            work_ms=traffic.work_ms(),
            demand=demand,
            pressure=pressure.pressures(),
            shares={name: traffic.shares(name) for name in demand},
            uneven=traffic.uneven_summary(),
            moves=cluster.moves.summary(),
            upstreams={
                u.instance.id: [
                    round(u.load(), 1),
                    round(u.slowness, 2),
                    u.in_flight,
                    int(u.is_excluded),
                    int(u.is_cold),
                ]
                for u in _select(list(cluster.registry.all()))
            },
            known_upstreams=cluster.registry.count,
            work_percents=_work_percents(cluster.registry.all()),
        )


def _work_percents(
    upstreams: Iterable[upstream_module.Upstream],
) -> dict[str, int]:
    """Returns the expected work factors of busy machines in percent."""
    busy = [u for u in upstreams if u.is_busy]
    return {
        u.instance.id: round(100 * work_factor.expected(*u.reported_factor))
        for u in busy[:MAX_REPORTED_UPSTREAMS]
    }


def _select(
    upstreams: list[upstream_module.Upstream],
) -> list[upstream_module.Upstream]:
    """Returns the upstreams to report: excluded and busy ones go first."""
    if len(upstreams) <= MAX_REPORTED_UPSTREAMS:
        return upstreams
    return heapq.nlargest(
        MAX_REPORTED_UPSTREAMS,
        upstreams,
        key=lambda u: (u.is_excluded, u.in_flight),
    )

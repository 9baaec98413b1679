"""Status of a daemon for operators."""

import dataclasses
import time

from bramleyworks.daemon import config_task
from bramleyworks.daemon import identity
from bramleyworks.daemon import ledger_task
from bramleyworks.daemon import move_task
from bramleyworks.daemon import peer_link
from bramleyworks.daemon import slot_task
from bramleyworks.policy import fleet_view


def build(
    me: identity.Identity,
    view: fleet_view.FleetView,
    config: config_task.ConfigTask,
    ledger: ledger_task.LedgerTask,
    slots: slot_task.SlotTask,
    moves: move_task.MoveTask,
    link: peer_link.PeerLink,
    draining: bool,
    uptime_s: float,
) -> dict:
    """Returns the response body of ``GET /-/status``.

    Args:
        me: Identity of the daemon.
        view: Current view of the fleet.
        config: Task that owns the configuration.
        ledger: Task that owns the slot ledger.
        slots: Task that owns the slots.
        moves: Task that owns the moves.
        link: Link to the peers.
        draining: Whether the daemon is draining.
        uptime_s: Seconds since the daemon started.
    """
    now_s = time.monotonic()
    failed_s = config.store_failed_s
    return {
        "vm": me.vm_id,
        "incarnation": me.incarnation,
        "region": me.region,
        "failure_domain": me.failure_domain,
        "uptime_s": round(uptime_s, 1),
        "draining": draining,
        "config_version": config.version,
        "fresh": config.is_fresh(now_s),
        "store_out_s": None if failed_s is None else round(now_s - failed_s, 1),
        "listed": None if view.listed is None else sorted(view.listed),
        "leaving": sorted(view.leaving),
        "members": {
            name: {
                "region": item.heartbeat.region,
                "failure_domain": item.heartbeat.failure_domain,
                "config_version": item.heartbeat.config_version,
                "draining": item.heartbeat.draining,
                "heard_s": round(now_s - item.received_s, 2),
            }
            for name, item in sorted(view.live.items())
        },
        "ledger": {
            "epoch": ledger.epoch(),
            "units": ledger.units(),
            "owned": sorted(ledger.owned()),
        },
        "free_slots": slots.free_slots(),
        "moves": [dataclasses.asdict(item) for item in moves.status()],
        "link": dict(link.counts),
    }

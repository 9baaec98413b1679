"""Factory of heartbeats for tests."""

from bramleyworks.messages import heartbeat


def make_heartbeat(vm_id, sequence=1, incarnation="a", **fields):
    values = {
        "region": "sudo",
        "failure_domain": "d1",
        "http": "127.0.0.1:1",
        "peer": "127.0.0.1:2",
        "config_version": 1,
        "fresh_age_s": 1e6,
        "draining": False,
        "ledger_epoch": 0,
        "free_slots": {},
        "joined": True,
    }
    values.update(fields)
    return heartbeat.Heartbeat(
        vm_id=vm_id, sequence=sequence, incarnation=incarnation, **values
    )

"""The periodic state of a daemon."""

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Periodic state of one daemon, sent to its neighbours.

    Attributes:
        vm_id: Name of the VM.
        incarnation: Random id of this process.
        sequence: Grows with each heartbeat.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        http: Address callers use, ``IP:PORT``.
        peer: Address of the peer link, ``IP:PORT``.
        config_version: Configuration version in force, 0 for none.
        fresh_age_s: Seconds since the newest confirmed store read it knows.
        draining: Whether it is about to stop.
        ledger_epoch: Epoch of the ledger it has seen.
        free_slots: Free slots by service that it could lend.
        counts: Requests and failures by ``MOVE/ROUTE/VERSION``.
        cuts: Ids of version moves it has cut.
    """

    vm_id: str
    incarnation: str
    sequence: int
    region: str
    failure_domain: str
    http: str
    peer: str
    config_version: int
    fresh_age_s: float
    draining: bool
    ledger_epoch: int
    free_slots: dict[str, int]
    counts: dict[str, list[int]] = {}
    cuts: tuple[str, ...] = ()

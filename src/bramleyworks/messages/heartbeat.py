"""The heartbeat between daemons."""

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Periodic state of one daemon, sent to its neighbours.

    Attributes:
        vm_id: Name of the VM.
        incarnation: Random id of this process.
        sequence: Increases with each heartbeat.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        http: Address callers use, ``IP:PORT``.
        peer: Address of the peer link, ``IP:PORT``.
        config_version: Configuration version in force, 0 for none.
        fresh_age_s: Seconds since the latest store read that is known to have
            confirmed its configuration.
        draining: Whether it is draining before it stops.
        ledger_epoch: Epoch of the latest ledger it has read.
        free_slots: Free slots by service that it could lend.
        counts: Requests and failures by ``MOVE/ROUTE/VERSION``.
        cuts: Ids of version moves that it has aborted.
        echo: Sequence of the latest heartbeat received from the addressee, 0
            for none.
        echo_hold_s: Seconds between receiving that heartbeat and sending
            this one.
        serving: Whether it serves routes that need a key now.
        joined: Whether its configuration has been confirmed as fresh since it
            started; until then it may hold a stale one.
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
    echo: int = 0
    echo_hold_s: float = 0.0
    joined: bool = False
    serving: bool = True

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
        echo: Sequence of the newest heartbeat received from the receiver, 0
            for none.
        echo_hold_s: Seconds between receiving that heartbeat and sending
            this one.
        serving: Whether it serves routes that need a key now.
        joined: Whether it has had fresh evidence for its configuration since
            it started; before that it may hold an old one.
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

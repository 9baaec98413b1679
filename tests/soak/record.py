"""What callers and upstreams saw in a run."""

import dataclasses


@dataclasses.dataclass
class SentRequest:
    """One request of a caller.

    Times are seconds of the monotonic clock, which all processes share.

    Attributes:
        request_id: Id that the caller gave it.
        vm: VM that it was sent to.
        process_number: Number of that VM's process.
        safe: Whether it may run more than once.
        method: Its method.
        target: Its path.
        body: Its body.
        deadline_s: When the caller stops waiting.
        sent_s: When it was sent.
        route_version: Version of the configuration that added its route, 0 if all did.
        key_version: Version that alone has its key, 0 if all have it.
        preceding: The pipelined request that is answered before it, if any.
        status: Status of the answer, 0 without one.
        headers: Header fields of the answer, in lower case.
        response: Body of the answer.
        done_s: When the answer was complete, or the connection ended.
        abandoned: Whether the caller left before the answer.
    """

    request_id: str
    vm: str
    process_number: int
    safe: bool
    method: str
    target: str
    body: str
    deadline_s: float
    sent_s: float
    route_version: int = 0
    key_version: int = 0
    preceding: "SentRequest | None" = None
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    response: str = ""
    done_s: float = 0.0
    abandoned: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """One request that an upstream began to run."""

    request_id: str
    upstream: str
    domain: str
    method: str
    target: str
    body: str
    headers: dict
    at_s: float


@dataclasses.dataclass(frozen=True)
class FaultWindow:
    """A time in which something was harmed."""

    start_s: float
    end_s: float
    vm: str = ""


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """A failure domain that was to get nothing for a time."""

    domain: str
    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True)
class Move:
    """A move to a new version, and how it ended in time.

    Attributes:
        start_s: When the order was acknowledged.
        due_s: Its deadline.
        bad: Whether the new version fails all requests.
        state: What the system wrote last before the deadline, empty if
            nothing.
    """

    start_s: float
    due_s: float
    bad: bool
    state: str


@dataclasses.dataclass
class Record:
    """Everything that the promises are checked against.

    Attributes:
        sent: Requests of all callers.
        runs: Requests that upstreams ran.
        fault_windows: Times in which a VM was harmed; all VMs if it is not named.
        config_written_s: When each version was acknowledged, by its number.
        drain_started_s: When upstreams began to drain, by name.
        evacuations: Failure domains that were evacuated.
        moves: Moves to new versions.
        unexpected_exits: VM processes that ended by themselves, with exit code.
        late_stops: VM processes that outlived the grace time.
        recovered: Whether all VMs served again in time after the last fault.
    """

    sent: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    fault_windows: list = dataclasses.field(default_factory=list)
    config_written_s: dict = dataclasses.field(default_factory=dict)
    drain_started_s: dict = dataclasses.field(default_factory=dict)
    evacuations: list = dataclasses.field(default_factory=list)
    moves: list = dataclasses.field(default_factory=list)
    unexpected_exits: list = dataclasses.field(default_factory=list)
    late_stops: list = dataclasses.field(default_factory=list)
    recovered: bool = True

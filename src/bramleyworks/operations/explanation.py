"""Collects the log lines of entry VMs that explain one request.

Pure functions over decoded log lines; ``docs/OPERATIONS.md`` lists the events.
"""

import dataclasses
from collections.abc import Iterable

# Events up to this long before a request may have decided its outcome: the
# platform allows at most 5 s until a change is in force, extended by 6 s.
CONTEXT_S = 11.0
DROPPED_EVENT = "log.dropped"
# Events that are shown separately or concern other requests.
_NON_CONTEXT_EVENTS = frozenset(
    {"request", "state", "config.in_force", DROPPED_EVENT}
)


@dataclasses.dataclass(frozen=True)
class UpstreamState:
    """A VM's view of an upstream.

    Attributes:
        name: Id of the upstream.
        load: Requests in flight, from load reports and the VM's own.
        slowness: Its latency as a multiple of its typical latency.
        own_in_flight: Requests of this VM in flight there.
        is_excluded: Whether it got half-open probes only.
        is_cold: Whether it was in its cold start.
    """

    name: str
    load: float
    slowness: float
    own_in_flight: int
    is_excluded: bool
    is_cold: bool


@dataclasses.dataclass(frozen=True)
class Explanation:
    """A log line about a request and the state of its VM at that time.

    Attributes:
        request: The log line of the request.
        in_force: The last line of that VM about a new configuration in force.
        state: The last state report of that VM before the request ended.
        upstreams: The upstreams in that report to which the request was sent,
            or all if it was not sent.
        events: Other lines of that VM in the ``CONTEXT_S`` before, oldest
            first.
        dropped_lines: Lines about requests that the VM dropped in that time.
    """

    request: dict
    in_force: dict | None
    state: dict | None
    upstreams: tuple[UpstreamState, ...]
    events: tuple[dict, ...]
    dropped_lines: int


def explain(lines: Iterable[dict], request_id: str) -> list[Explanation]:
    """Returns one explanation for each line about a request.

    Args:
        lines: Log lines of all VMs, in any order.
        request_id: Id that the caller gave the request.

    Returns:
        Explanations ordered by time; none if no VM logged the request.
    """
    ordered = sorted(lines, key=lambda line: line["time"])
    matches = [
        line
        for line in ordered
        if line["event"] == "request" and line["id"] == request_id
    ]
    return [_explain(ordered, line) for line in matches]


def _explain(ordered: list[dict], request: dict) -> Explanation:
    before = [
        line
        for line in ordered
        if line["vm"] == request["vm"] and line["time"] <= request["time"]
    ]
    since_s = request["time"] - request["ms"] / 1000 - CONTEXT_S
    recent = [line for line in before if line["time"] >= since_s]
    state = _last(before, "state")
    return Explanation(
        request=request,
        in_force=_last(before, "config.in_force"),
        state=state,
        upstreams=_upstreams(state, request),
        events=tuple(
            line for line in recent if line["event"] not in _NON_CONTEXT_EVENTS
        ),
        dropped_lines=sum(
            line["lines"].get("request", 0)
            for line in recent
            if line["event"] == DROPPED_EVENT
        ),
    )


def _last(lines: list[dict], event: str) -> dict | None:
    return next(
        (line for line in reversed(lines) if line["event"] == event), None
    )


def _upstreams(state: dict | None, request: dict) -> tuple[UpstreamState, ...]:
    if state is None:
        return ()
    tried = {
        attempt["upstream"]
        for attempt in request["tried"]
        if "upstream" in attempt
    }
    return tuple(
        UpstreamState(name, load, slowness, own, bool(excluded), bool(cold))
        for name, (load, slowness, own, excluded, cold) in sorted(
            state["upstreams"].items()
        )
        if not tried or name in tried
    )

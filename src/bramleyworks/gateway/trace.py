"""Data for the log line of a request."""

import contextlib
import dataclasses
from collections.abc import Callable
from collections.abc import Iterator

from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import isolation
from bramleyworks.policy import placement
from bramleyworks.policy import shared_limit

OUTCOME_PENDING = "open"


@dataclasses.dataclass(slots=True)
class Trace:
    """Data that is logged when a request ends.

    Attributes:
        route: Name of the route.
        service: Name of the service.
        organisation: Name of the organisation.
        object_key: Key of the requested object.
        tried: One entry per attempt with its estimates and outcome.
        status: Status code of the response, 0 if there was none.
        reason: Reason of a response other than an upstream's success.
        is_proxied: Whether another VM passed the request on.
        limit: State of the organisation's limit if that refused the request.
    """

    route: str = "-"
    service: str = "-"
    organisation: str = "-"
    object_key: str = ""
    tried: list[dict] = dataclasses.field(default_factory=list)
    status: int = 0
    reason: str = ""
    is_proxied: bool = False
    limit: shared_limit.LimitState | None = None


@contextlib.contextmanager
def timed(entry: dict, clock: Callable[[], float]) -> Iterator[None]:
    """Records in the log entry of an attempt how long the attempt takes.

    The entry stays pending if the caller disconnects or the deadline passes.
    """
    start_s = clock()
    try:
        yield
    finally:
        entry["ms"] = round((clock() - start_s) * 1000)


def new_attempt_entry(
    upstream: upstream_module.Upstream, choice: placement.Choice
) -> dict:
    """Returns the log entry of a new attempt."""
    return {
        "upstream": upstream.instance.id,
        "outcome": OUTCOME_PENDING,
        "reason": "no complete answer",
        "load": round(upstream.load(), 1),
        "held": choice.is_warm,
        "expected_ms": round(choice.expected_s * 1000),
        "wait_ms": round(choice.wait_s * 1000),
        "work_factor": round(choice.work_factor, 2),
        "ms": 0,
    }


def new_proxy_entry(peer: isolation.Peer) -> dict:
    """Returns the log entry of a request that is passed on to another VM."""
    return {
        "vm": peer.id,
        "outcome": OUTCOME_PENDING,
        "reason": "no complete answer",
        "reach": peer.reach.value,
        "ms": 0,
    }

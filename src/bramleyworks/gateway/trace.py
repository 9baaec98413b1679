"""The log line of a request."""

import dataclasses

from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import placement

OUTCOME_PENDING = "open"


@dataclasses.dataclass(slots=True)
class Trace:
    """What is logged about a request when it ends.

    Attributes:
        route: Name of its route.
        service: Service that it goes to.
        organisation: Name of its organisation.
        object_key: Object that it is about.
        tried: What was expected of each attempt and how it ended.
        status: Status of the response, 0 if there was none.
        reason: Why the response is not an upstream's success.
    """

    route: str = "-"
    service: str = "-"
    organisation: str = "-"
    object_key: str = ""
    tried: list[dict] = dataclasses.field(default_factory=list)
    status: int = 0
    reason: str = ""


def new_attempt_entry(
    upstream: upstream_module.Upstream, choice: placement.Choice
) -> dict:
    """Returns the entry of an attempt that begins."""
    return {
        "upstream": upstream.instance.id,
        "outcome": OUTCOME_PENDING,
        "reason": "no complete answer",
        "load": round(upstream.load(), 1),
        "held": choice.is_warm,
        "expected_ms": round(choice.expected_s * 1000),
        "wait_ms": round(choice.wait_s * 1000),
        "ms": 0,
    }

"""Model of a caller's request."""

import dataclasses
from typing import Literal

Outcome = Literal["ok", "failed", "rate", "slot", "stale"]


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A request and when it was sent.

    Attributes:
        organisation: Name of the organisation.
        service: Name of the service.
        route: Prefix of the route.
        region: Region nearest to the caller.
        started_s: Virtual time in seconds when the caller sent it.
    """

    organisation: str
    service: str
    route: str
    region: str
    started_s: float

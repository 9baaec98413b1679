"""A response of an upstream's health endpoint."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """State reported by an upstream; it may be stale or wrong.

    Attributes:
        status: Reported status.
        busy: Reported number of requests that it runs.
        slots: Reported number of requests that it can run concurrently.
        version: Reported version.
    """

    status: Literal["ok", "draining", "failing"]
    busy: int
    slots: int
    version: str

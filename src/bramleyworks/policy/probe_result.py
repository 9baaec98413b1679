"""One answer of an upstream's health endpoint."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """What an upstream says about itself; it may be late or wrong.

    Attributes:
        status: Its own judgement.
        busy: Requests it says it runs.
        slots: Requests it says it can run at once.
        version: Version it says it runs.
    """

    status: Literal["ok", "draining", "failing"]
    busy: int
    slots: int
    version: str

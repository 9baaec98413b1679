"""An operator's order to move a service to another version."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MoveOrder:
    """Order to move a service's traffic to upstreams of one version.

    Attributes:
        service: Service to move.
        to_version: Version to move to.
        duration_s: Seconds from the start to the end of the move.
        revision: Store revision of the order, which identifies it.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int

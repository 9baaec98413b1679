"""An operator's order to move a service to another version."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MoveOrder:
    """Asks that a service's traffic moves to upstreams of one version.

    Attributes:
        service: Service to move.
        to_version: Version that is to take over.
        duration_s: Time by which the move is to be done.
        revision: Store revision of the order, which tells orders apart.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int

"""Model of a service."""

import dataclasses

ROUTES = ("a", "b", "c")


@dataclasses.dataclass(frozen=True)
class ModelledService:
    """Upstreams of one service and their mean service time.

    Attributes:
        name: Name of the service.
        upstreams: Number of upstreams.
        slots: Slots of each upstream.
        mean_s: Mean service time of a request in seconds.
        connections: Most connections that each upstream accepts.
    """

    name: str
    upstreams: int
    slots: int
    mean_s: float
    connections: int

    def capacity_per_s(self) -> float:
        """Returns the capacity of all slots in requests per second."""
        return self.upstreams * self.slots / self.mean_s

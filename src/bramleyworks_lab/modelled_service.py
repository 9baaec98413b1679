"""A service of the model."""

import dataclasses

ROUTES = ("a", "b", "c")


@dataclasses.dataclass(frozen=True)
class ModelledService:
    """Servers of one service and how long a request takes.

    Attributes:
        name: Name of the service.
        servers: Number of servers.
        slots: Slots of each server.
        mean_s: Mean time of a request in seconds.
        connections: Connections that each server takes.
    """

    name: str
    servers: int
    slots: int
    mean_s: float
    connections: int

    def capacity_per_s(self) -> float:
        """Returns the requests per second that all slots can run."""
        return self.servers * self.slots / self.mean_s

"""A service and what its upstreams accept."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable upstreams.

    Attributes:
        name: Name that routes and upstreams refer to.
        health_path: Path of the health check.
        max_conns: Connections that one upstream accepts from all VMs together.
        cold_s: Time for which an upstream is cold after its start.
        cold_per_s: Requests per second that a cold upstream tolerates from all
            VMs together; 0 if it needs no such care.
    """

    name: str
    health_path: str
    max_conns: int
    cold_s: float
    cold_per_s: float

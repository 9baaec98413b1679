"""A service and the limits of its upstreams."""

import dataclasses

DEFAULT_HEALTH_PATH = "/healthz"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that is provided by interchangeable upstreams.

    Attributes:
        name: Name by which routes and upstreams refer to it.
        health_path: Path of the health check.
        max_conns: Connections that one upstream accepts from all VMs together.
        cold_s: Duration of an upstream's cold start.
        cold_per_s: Requests per second that an upstream tolerates from all VMs
            together during its cold start; 0 for no limit.
    """

    name: str
    health_path: str
    max_conns: int
    cold_s: float
    cold_per_s: float

"""One observation of an upstream's answer."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Sample:
    """What a request showed about the version that ran it.

    Attributes:
        service: Name of the service.
        route: Prefix of the route.
        version: Version of the upstream.
        failed: Whether it failed (no answer, or a status of 500 or more).
        latency_s: Seconds until the head of the answer.
        busy: Share of the upstream's slots in use when it started, 0 to 1.
    """

    service: str
    route: str
    version: str
    failed: bool
    latency_s: float
    busy: float

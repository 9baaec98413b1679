"""One finished request of a service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What one request tells about a version.

    Attributes:
        route: Prefix of the route.
        version: Version of the upstream that served it.
        failed: Whether the version failed; a shed request did not fail.
        latency_s: Time in the upstream in seconds, without queueing and
            without the latency between regions.
        busy: Whether the upstream was over 70% busy at the start.
    """

    route: str
    version: str
    failed: bool
    latency_s: float
    busy: bool

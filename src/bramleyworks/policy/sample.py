"""Sample of a finished request, for comparing versions."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of a request to one version of a service.

    Attributes:
        route: Prefix of the route.
        version: Version of the upstream that served the request.
        failed: Whether the version failed; a shed request did not fail.
        latency_s: Time in the upstream in seconds, without queueing and
            without the latency between regions.
        busy: Whether the upstream was more than 70% busy when the request
            started.
    """

    route: str
    version: str
    failed: bool
    latency_s: float
    busy: bool

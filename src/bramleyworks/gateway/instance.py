"""The registration of an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One registration of an upstream.

    Attributes:
        id: Id of the upstream; a restart may keep it.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        failure_domain: Failure domain it runs in.
        version: Software version.
        slots: Requests that it runs concurrently.
        is_draining: Whether it is shutting down and wants no new requests.
        cold_left_s: Time that was left of its cold start when it registered.
        started_ms: Unix time of its start in milliseconds, 0 if unknown. A
            different value under the same id means a restart.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    version: str
    slots: int
    is_draining: bool
    cold_left_s: float
    started_ms: int

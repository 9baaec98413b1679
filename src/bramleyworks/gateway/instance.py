"""An upstream as it registered itself."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One registration of an upstream.

    Attributes:
        id: Identity of the upstream; a restart may keep it.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        failure_domain: Failure domain it runs in.
        version: Version of its software.
        slots: Requests that it runs at the same time.
        is_draining: Whether it is about to stop.
        cold_left_s: How long it stayed cold when it registered.
        started_ms: Unix time of its start in milliseconds, 0 if unknown.
            Another value under the same identity means a restart.
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

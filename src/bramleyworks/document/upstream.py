"""One server of a service."""

import msgspec


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A server that runs requests of one service.

    Attributes:
        name: Unique name.
        service: Name of its service.
        version: Version it runs.
        region: Region it is in.
        failure_domain: Failure domain it is in.
        url: Base URL, ``http://IP:PORT``.
        slots: Requests it can run at once.
        connections: Connections it accepts.
    """

    name: str
    service: str
    version: str
    region: str
    failure_domain: str
    url: str
    slots: int
    connections: int = 330

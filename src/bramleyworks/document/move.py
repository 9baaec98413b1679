"""A planned move of a service to another version."""

import msgspec


class Move(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Moves a service from one version to another by a deadline.

    Attributes:
        id: Unique name, never reused.
        service: Name of the service.
        from_version: Version that runs now.
        to_version: Version that replaces it.
        start_s: Start, Unix time in seconds.
        deadline_s: Time by which the move is complete or rolled back, Unix time
            in seconds.
    """

    id: str
    service: str
    from_version: str
    to_version: str
    start_s: float
    deadline_s: float

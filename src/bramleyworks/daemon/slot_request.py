"""Request for a slot of an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Describes a request that needs a slot.

    Attributes:
        service: Name of the service.
        version: Version of the service.
        organisation: Organisation of the request, empty on an open route.
        deadline_s: Monotonic time from which the request must not be sent.
        body_bytes: Length of the request's body.
        exclude: Upstreams not to use, for a retry.
    """

    service: str
    version: str
    organisation: str
    deadline_s: float
    body_bytes: int = 0
    exclude: tuple[str, ...] = ()

"""What a request asks of the slot task."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that needs a slot.

    Attributes:
        service: Name of the service.
        version: Version of the service.
        organisation: Organisation of the request, empty on an open route.
        deadline_s: Monotonic time from which it must not be sent.
        body_bytes: Length of its body.
        exclude: Upstreams not wanted, for a retry.
    """

    service: str
    version: str
    organisation: str
    deadline_s: float
    body_bytes: int = 0
    exclude: tuple[str, ...] = ()

"""A slot of an upstream, which permits sending one request to it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """One slot of one upstream for one request.

    Attributes:
        upstream: Name of the upstream.
        url: Base URL of the upstream.
        region: Region of the upstream.
        loan_id: Id of the slot's use at the owner.
        owner: VM that lent the slot, None if this VM owns the upstream.
        start_by_s: Monotonic time from which the request must not be sent; a
            slot not used by then is released.
        expires_s: Monotonic time by which the request must have ended or is
            cancelled.
        is_busy: Whether over 70% of the upstream's slots are in use, this one
            included. Faults of a version under load show in such requests.
    """

    upstream: str
    url: str
    region: str
    loan_id: int
    owner: str | None
    start_by_s: float
    expires_s: float
    is_busy: bool = False

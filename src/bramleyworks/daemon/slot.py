"""The right to send one request to an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """One slot of one upstream for one request.

    Attributes:
        upstream: Name of the upstream.
        url: Its base URL.
        region: Its region.
        loan_id: Id of the use at the owner.
        owner: VM that lent it, None if this VM owns the upstream.
        expires_s: Monotonic time by which the request is cancelled at the
            latest, and from which it must not be sent.
    """

    upstream: str
    url: str
    region: str
    loan_id: int
    owner: str | None
    expires_s: float

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
        start_by_s: Monotonic time from which the request must not be sent; a
            slot not used by then is released.
        expires_s: Monotonic time by which the request is cancelled at the
            latest.
        is_busy: Whether the upstream is over 70% busy with it; versions that
            are bad under load show it in such requests.
    """

    upstream: str
    url: str
    region: str
    loan_id: int
    owner: str | None
    start_by_s: float
    expires_s: float
    is_busy: bool = False

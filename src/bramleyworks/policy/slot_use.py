"""The use of one slot by one request."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUse:
    """A slot that is used by a request of this VM or lent to another VM.

    Attributes:
        use_id: Unique over all incarnations of the owner.
        upstream: Name of the upstream.
        pool: Service, version and region of the upstream.
        organisation: Organisation of the request.
        borrower: VM that borrowed it, empty if it is not lent.
        taken_s: Monotonic time at which it was taken.
        end_s: Monotonic time by which the request must have ended.
        trial: Whether the request is a half-open probe of an excluded upstream.
        busy: Whether it takes the upstream over 70% of its slots.
    """

    use_id: int
    upstream: str
    pool: tuple[str, str, str]
    organisation: str
    borrower: str
    taken_s: float
    end_s: float
    trial: bool
    busy: bool = False

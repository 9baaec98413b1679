"""One use of a slot."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUse:
    """A slot taken for one request, by this VM or lent to another.

    Attributes:
        use_id: Unique over all incarnations of the owner.
        upstream: Name of the upstream.
        pool: Service, version and region of the upstream.
        organisation: Organisation of the request.
        borrower: VM that borrowed it, empty for a request of the owner.
        taken_s: Monotonic time at which it was taken.
        end_s: Monotonic time by which the request has been cancelled.
        trial: Whether it tests an excluded upstream.
        busy: Whether the upstream is over 70% busy with it.
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

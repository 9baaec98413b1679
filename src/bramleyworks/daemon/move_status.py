"""What one daemon reports about a version move."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStatus:
    """The state of one move as this daemon applies it.

    Attributes:
        id: Id of the move.
        service: Name of the service.
        from_version: Version that runs now.
        to_version: Version that takes over.
        deadline_s: Unix time in seconds.
        step: Recorded step, -1 without a record.
        share_ppm: Share that this daemon applies, in parts per million.
        verdict: ``"waiting"``, ``"running"``, ``"done"`` or ``"undone"``;
            the recorded one, unless this daemon has cut the move or has
            rolled it back at the deadline.
        reason: Why the verdict was given.
        is_cut: Whether this daemon knows a cut.
    """

    id: str
    service: str
    from_version: str
    to_version: str
    deadline_s: float
    step: int
    share_ppm: int
    verdict: str
    reason: str
    is_cut: bool

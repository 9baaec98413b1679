"""State of a version move as one daemon reports it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStatus:
    """State of a move as this daemon applies it.

    Attributes:
        id: Id of the move.
        service: Name of the service.
        from_version: Version that the move replaces.
        to_version: Version that the move introduces.
        deadline_s: Deadline as Unix time in seconds.
        step: Recorded step, -1 without a record.
        share_ppm: Share that this daemon applies, in parts per million.
        verdict: ``"waiting"``, ``"running"``, ``"done"`` or ``"undone"``;
            the recorded one, unless this daemon knows that the move was
            aborted or has rolled it back at the deadline.
        reason: Reason for the verdict.
        is_cut: Whether this daemon knows that the move was aborted.
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

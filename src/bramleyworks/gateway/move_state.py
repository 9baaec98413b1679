"""How far the move of a service has come."""

import dataclasses
import enum


class MovePhase(enum.Enum):
    """State of a move, as operators read it."""

    RUNNING = "running"
    DONE = "done"
    REVERTED = "reverted"


@dataclasses.dataclass(frozen=True, slots=True)
class MoveState:
    """The recorded state of a move.

    Attributes:
        to_version: Version that was to take over.
        phase: State of the move.
        revision: Store revision of the record.
    """

    to_version: str
    phase: MovePhase
    revision: int

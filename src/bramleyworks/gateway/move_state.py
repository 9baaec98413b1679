"""The recorded state of the move of a service."""

import dataclasses
import enum


class MovePhase(enum.Enum):
    """Phase of a move, as shown to operators."""

    RUNNING = "running"
    DONE = "done"
    REVERTED = "reverted"


@dataclasses.dataclass(frozen=True, slots=True)
class MoveState:
    """The recorded state of a move.

    Attributes:
        to_version: Version of the move order.
        phase: Phase of the move.
    """

    to_version: str
    phase: MovePhase

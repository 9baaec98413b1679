"""Notice that a version move was aborted."""

import msgspec


class VersionCut(msgspec.Struct, frozen=True, tag="version_cut"):
    """The new version of a move gets no more traffic because of faults.

    Attributes:
        move_id: Id of the move.
        reason: Evidence of the faults.
    """

    move_id: str
    reason: str

"""Notice that a version was cut."""

import msgspec


class VersionCut(msgspec.Struct, frozen=True, tag="version_cut"):
    """The new version of a move gets no more traffic.

    Attributes:
        move_id: Id of the move.
        reason: Evidence.
    """

    move_id: str
    reason: str

"""Announcement of a new configuration version."""

import msgspec


class Announce(msgspec.Struct, frozen=True, tag="announce"):
    """Announces the newer configuration version that the sender has.

    Attributes:
        version: The version.
    """

    version: int

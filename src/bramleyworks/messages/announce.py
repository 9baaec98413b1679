"""Announcement of a new configuration version."""

import msgspec


class Announce(msgspec.Struct, frozen=True, tag="announce"):
    """A newer configuration version exists at the sender.

    Attributes:
        version: The version.
    """

    version: int

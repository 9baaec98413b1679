"""Request for the latest configuration."""

import msgspec


class PullConfig(msgspec.Struct, frozen=True, tag="pull_config"):
    """Asks for the changes since a version.

    Attributes:
        have_version: Version the sender has, 0 for none.
    """

    have_version: int

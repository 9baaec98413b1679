"""A full configuration."""

import msgspec


class ConfigWhole(msgspec.Struct, frozen=True, tag="config_whole"):
    """A full stored configuration, compressed.

    Attributes:
        version: Its version.
        data: The stored configuration as zlib-compressed JSON.
    """

    version: int
    data: bytes

"""Changes between two configuration versions."""

import msgspec


class ConfigDelta(msgspec.Struct, frozen=True, tag="config_delta"):
    """The changes from one stored configuration to another.

    Attributes:
        base_version: Version to which the changes apply.
        version: Version they produce.
        digest: SHA-256 of the encoded result, hexadecimal.
        ops: Encoded operations, see ``document.delta``.
    """

    base_version: int
    version: int
    digest: str
    ops: bytes

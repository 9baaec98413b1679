"""The digest of a key of an organisation."""

import msgspec


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One key of an organisation; the key itself is never stored.

    Attributes:
        id: Unique name of the key, safe to log.
        digest: SHA-256 of the key in lower-case hexadecimal.
    """

    id: str
    digest: str

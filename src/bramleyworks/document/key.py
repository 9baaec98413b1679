"""An API key of an organisation, stored as its digest."""

import msgspec


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Id and digest of an API key; the key itself is never stored.

    Attributes:
        id: Unique name of the key, safe to log.
        digest: SHA-256 of the key in lower-case hexadecimal.
    """

    id: str
    digest: str

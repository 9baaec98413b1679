"""One item of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KvItem:
    """A key and its last change.

    Attributes:
        key: The key.
        value: The value, None if the change removed the key.
        revision: Revision of the change.
    """

    key: str
    value: bytes | None
    revision: int

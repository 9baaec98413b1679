"""One entry of the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreEntry:
    """The value of a key at one revision.

    Attributes:
        key: The key.
        value: The value.
        revision: Increases with each write of any key; never 0.
    """

    key: str
    value: bytes
    revision: int

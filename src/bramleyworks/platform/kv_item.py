"""One item of the platform's store."""

import dataclasses

from bramleyworks.platform import kv_position


@dataclasses.dataclass(frozen=True, slots=True)
class KvItem:
    """A key and its last change.

    Attributes:
        key: The key.
        value: The value, None if the change removed the key.
        revision: Revision of the key's last change that the store has, 0 if it
            does not have the key.
        era: Era of the revision.
        lost: Position of the change that set the value if the store was
            restored from an older copy and lost it, None if it has it.
    """

    key: str
    value: bytes | None
    revision: int
    era: int = 0
    lost: kv_position.Position | None = None

    @property
    def position(self) -> kv_position.Position:
        """Position of the last change that the store has."""
        return kv_position.Position(self.era, self.revision)

    @property
    def origin(self) -> kv_position.Position:
        """Position of the change that set the value."""
        return self.lost or self.position

    @property
    def is_missing(self) -> bool:
        """Whether the store does not have the key although it has a value."""
        return self.lost is not None and self.revision == 0

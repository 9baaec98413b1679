"""This VM's copy of the store's items."""

from collections.abc import Callable
from collections.abc import Iterable

from bramleyworks.platform import kv_item


class Mirror:
    """Items by key, each at its newest revision known here.

    Attributes:
        revision: Store revision up to which all changes are known.
    """

    def __init__(self, notify: Callable[[kv_item.KvItem], None]):
        """Creates an empty copy.

        Args:
            notify: Called with each item that has changed.
        """
        self.revision = 0
        self._notify = notify
        self._items: dict[str, kv_item.KvItem] = {}

    def items(self) -> list[kv_item.KvItem]:
        """Returns all items that exist."""
        return [i for i in self._items.values() if i.value is not None]

    def get(self, key: str) -> kv_item.KvItem | None:
        """Returns the item of a key if it exists."""
        item = self._items.get(key)
        return item if item is not None and item.value is not None else None

    def apply(self, revision: int, changes: Iterable[kv_item.KvItem]) -> None:
        """Takes changes that lead up to a revision."""
        for item in changes:
            known = self._items.get(item.key)
            if known is None or item.revision > known.revision:
                self._items[item.key] = item
                self._notify(item)
        self.revision = max(self.revision, revision)

    def replace(self, revision: int, items: list[kv_item.KvItem]) -> None:
        """Takes a complete list as of a revision.

        Items that are missing in it are gone, unless they are newer than it.
        """
        listed = {item.key for item in items}
        gone = [
            kv_item.KvItem(key, None, max(known.revision, revision))
            for key, known in self._items.items()
            if key not in listed
            and known.value is not None
            and known.revision <= revision
        ]
        for item in gone:
            self._items[item.key] = item
            self._notify(item)
        self.apply(revision, items)

"""This VM's replica of the store."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from bramleyworks.platform import kv_item

# Changes that are kept so that peers can be sent deltas.
MAX_RECENT_CHANGES = 2000


class StoreReplica:
    """Items by key, each at its latest known revision.

    Attributes:
        revision: Store revision up to which all changes are applied.
    """

    def __init__(self, on_change: Callable[[kv_item.KvItem], None]):
        """Initializes an empty replica.

        Args:
            on_change: Called with each item that has changed.
        """
        self.revision = 0
        self._on_change = on_change
        self._items: dict[str, kv_item.KvItem] = {}
        self._recent: collections.deque[kv_item.KvItem] = collections.deque(
            maxlen=MAX_RECENT_CHANGES
        )
        self._recent_since = 0

    def items(self) -> list[kv_item.KvItem]:
        """Returns all items that exist."""
        return [i for i in self._items.values() if i.value is not None]

    def get(self, key: str) -> kv_item.KvItem | None:
        """Returns the item of a key if it exists."""
        item = self._items.get(key)
        return item if item is not None and item.value is not None else None

    def apply(self, revision: int, changes: Iterable[kv_item.KvItem]) -> None:
        """Applies the changes up to a revision."""
        for item in changes:
            known = self._items.get(item.key)
            if known is None or item.revision > known.revision:
                if len(self._recent) == MAX_RECENT_CHANGES:
                    self._recent_since = self._recent[0].revision
                self._items[item.key] = item
                self._recent.append(item)
                self._on_change(item)
        self.revision = max(self.revision, revision)

    def changes_since(self, revision: int) -> list[kv_item.KvItem] | None:
        """Returns the changes after a revision, None if not all are kept."""
        if revision < self._recent_since:
            return None
        return [i for i in self._recent if i.revision > revision]

    def replace(self, revision: int, items: list[kv_item.KvItem]) -> None:
        """Replaces the content by a snapshot of the store.

        Items that the snapshot lacks are removed unless they are newer.

        Args:
            revision: Store revision of the snapshot.
            items: All items of the store.
        """
        # Removals before the snapshot were not received one by one.
        self._recent.clear()
        self._recent_since = revision
        listed = {item.key for item in items}
        removed = [
            kv_item.KvItem(key, None, max(known.revision, revision))
            for key, known in self._items.items()
            if key not in listed
            and known.value is not None
            and known.revision <= revision
        ]
        for item in removed:
            self._items[item.key] = item
            self._on_change(item)
        self.apply(revision, items)

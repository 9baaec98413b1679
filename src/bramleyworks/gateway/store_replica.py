"""This VM's replica of the store."""

import collections
import dataclasses
from collections.abc import Callable
from collections.abc import Iterable

from bramleyworks.gateway import store_history
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_position

# Changes that are kept so that peers can be sent deltas.
MAX_RECENT_CHANGES = 2000
# Values of removed items that are kept to recognise them in a restored store.
MAX_REMOVED = 512


class StoreReplica:
    """Items by key, each at its latest known change.

    The store may be restored from a copy that lacks the latest changes. They
    stay in force until their owners have written them again.

    Attributes:
        position: Position up to which all changes are applied.
        generation: Increases with each change of the content.
        is_exact: Whether the content has every change up to the position. VMs
            of earlier builds pass on positions without the removals that they
            delay.
    """

    def __init__(
        self,
        on_change: Callable[[kv_item.KvItem], None],
        compare: Callable[[bytes, kv_item.KvItem], int | None],
    ):
        """Initializes an empty replica.

        Args:
            on_change: Called with each item that has changed.
            compare: Returns a number below, equal to or above 0 if an item is
                older than, as old as or newer than a value of its key; None if
                the values do not tell.
        """
        self.position = kv_position.Position()
        self.generation = 0
        self.is_exact = True
        self._on_change = on_change
        self._compare = compare
        self._items: dict[str, kv_item.KvItem] = {}
        self._recent: collections.deque[kv_item.KvItem] = collections.deque(
            maxlen=MAX_RECENT_CHANGES
        )
        self._recent_since = 0
        self._history = store_history.StoreHistory()
        # Last values of removed items, and what a restored store has instead.
        self._removed: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self._revived: dict[str, kv_item.KvItem] = {}
        self._is_replaying = False

    def items(self) -> list[kv_item.KvItem]:
        """Returns all items that exist."""
        return [i for i in self._items.values() if i.value is not None]

    def snapshot(self) -> list[kv_item.KvItem]:
        """Returns the items for a VM that has none of them.

        They include items of a restored store that this VM knows to be removed;
        the receiver decides by what it knows itself.
        """
        return [*self.items(), *self._revived.values()]

    def get(self, key: str) -> kv_item.KvItem | None:
        """Returns the item of a key if it exists."""
        item = self._items.get(key)
        return item if item is not None and item.value is not None else None

    def stored_revision(self, key: str) -> int:
        """Returns the revision of a key in the store, 0 if it has no such."""
        item = self.get(key)
        return item.revision if item is not None else 0

    def is_lost(self, key: str) -> bool:
        """Returns whether the store has lost the value of a key."""
        item = self.get(key)
        return item is not None and item.lost is not None

    def lost_count(self) -> int:
        """Returns the number of items whose values the store has lost."""
        return sum(1 for i in self.items() if i.lost is not None)

    def apply(
        self, position: kv_position.Position, changes: Iterable[kv_item.KvItem]
    ) -> None:
        """Applies the changes of the present era up to a position."""
        for item in changes:
            known = self._items.get(item.key)
            if known is None:
                self._set(item)
            elif item.position > known.position:
                if self._is_replayed(item, known):
                    self._keep(known, item)
                else:
                    self._set(item)
        self.position = max(self.position, position)

    def changes_since(
        self, position: kv_position.Position
    ) -> list[kv_item.KvItem] | None:
        """Returns the changes after a position, None if not all are kept."""
        if (
            position.era != self.position.era
            or position.revision < self._recent_since
        ):
            return None
        return [i for i in self._recent if i.revision > position.revision]

    def replace(
        self, position: kv_position.Position, items: list[kv_item.KvItem]
    ) -> None:
        """Replaces the content by a snapshot of the store.

        Items that the snapshot lacks are removed unless they are newer. After
        a restore of the store, what it has lost is kept. A snapshot of an
        earlier era is ignored.

        Args:
            position: Position of the snapshot.
            items: All items of the store.
        """
        is_restored = self.position.era < position.era and self._items
        if position.era < self.position.era:
            return
        # Removals before the snapshot were not received one by one.
        self._recent.clear()
        self._recent_since = position.revision
        if is_restored:
            self._restore(position, items)
            return
        self._history.skip_to(position.revision)
        listed = {item.key for item in items if not item.is_missing}
        for key in self._revived.keys() - listed:
            del self._revived[key]
        removed = [
            kv_item.KvItem(
                key,
                None,
                max(known.revision, position.revision),
                position.era,
            )
            for key, known in self._items.items()
            if key not in listed
            and known.value is not None
            and known.position <= position
            and not known.is_missing
        ]
        for item in removed:
            self._set(item)
        self.apply(position, items)
        self.adopt_lost(items)

    def adopt_lost(self, items: Iterable[kv_item.KvItem]) -> int:
        """Adopts changes that the store has lost but a peer has seen.

        Args:
            items: Items of a peer's snapshot of the present era.

        Returns:
            The number of changes adopted.
        """
        adopted = 0
        for item in items:
            known = self._items.get(item.key)
            if known is None or item.lost is None or known.value == item.value:
                continue
            if known.value is None and known.lost is None:
                # Removed after the restore.
                continue
            order = self._order(known, item)
            if order is None:
                is_newer = known.position == item.position and (
                    known.origin < item.lost
                )
            else:
                is_newer = order > 0
            if is_newer:
                self._set(dataclasses.replace(item, revision=known.revision))
                adopted += 1
        return adopted

    def drop_missing(self, prefixes: tuple[str, ...]) -> None:
        """Removes items that the store lost and nobody has written again."""
        for item in self.items():
            if item.is_missing and item.key.startswith(prefixes):
                self._set(dataclasses.replace(item, value=None, lost=None))

    def accept_revived(self, prefixes: tuple[str, ...]) -> None:
        """Accepts removed items that a restored store has and keeps."""
        for item in list(self._revived.values()):
            if item.key.startswith(prefixes):
                self._set(item)

    def end_replay(self) -> None:
        """Notes that owners have written again what a restore has lost."""
        self._is_replaying = False

    def _set(self, item: kv_item.KvItem) -> None:
        known = self._items.get(item.key)
        if len(self._recent) == MAX_RECENT_CHANGES:
            self._recent_since = max(
                self._recent_since, self._recent[0].revision
            )
        self.generation += 1
        self._revived.pop(item.key, None)
        self._items[item.key] = item
        self._recent.append(item)
        if item.lost is None:
            self._history.add(item)
        if item.value is not None:
            self._removed.pop(item.key, None)
        elif known is not None and known.value is not None:
            self._removed[item.key] = known.value
            if len(self._removed) > MAX_REMOVED:
                self._removed.popitem(last=False)
        self._on_change(item)

    # A restored store.

    def _restore(
        self, position: kv_position.Position, items: list[kv_item.KvItem]
    ) -> None:
        """Merges the content of a restored store."""
        self.position = position
        self.generation += 1
        self._revived.clear()
        self._is_replaying = True
        listed = {item.key: item for item in items}
        for key, known in list(self._items.items()):
            found = listed.pop(key, None)
            if found is None:
                if known.value is not None:
                    self._keep(known, None)
            elif found.value == known.value:
                self._items[key] = found
                self._history.add(found)
            elif self._is_superseded(found, known):
                self._keep(known, found)
            else:
                self._set(found)
        for item in listed.values():
            self._set(item)
        self._history.skip_to(position.revision)

    def _keep(
        self, known: kv_item.KvItem, found: kv_item.KvItem | None
    ) -> None:
        """Keeps a change that the store has lost.

        Args:
            known: The item with the change.
            found: What the store has instead, None for nothing.
        """
        self.generation += 1
        self._items[known.key] = dataclasses.replace(
            known,
            revision=found.revision if found else 0,
            era=self.position.era,
            lost=known.origin,
        )
        if known.value is None and found is not None and not found.is_missing:
            self._revived[known.key] = found

    def _is_replayed(self, item: kv_item.KvItem, known: kv_item.KvItem) -> bool:
        """Returns whether a change precedes a known one that the store lost.

        Owners may write several lost changes again one after the other.
        """
        if not self._is_replaying or item.value is None:
            return False
        if known.lost is None and known.era == item.era:
            return False
        order = self._order(known, item)
        return order is not None and order < 0

    def _order(self, known: kv_item.KvItem, item: kv_item.KvItem) -> int | None:
        """Compares an item with the last value that its key had."""
        value = known.value
        if value is None:
            value = self._removed.get(known.key)
        return self._compare(value, item) if value is not None else None

    def _is_superseded(
        self, found: kv_item.KvItem, known: kv_item.KvItem
    ) -> bool:
        """Returns whether the store lost a change that followed an item."""
        order = self._order(known, found)
        if order is not None:
            return order <= 0
        if found.lost is not None:
            return found.lost <= known.origin
        return self._history.has_been_seen(found)

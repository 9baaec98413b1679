"""Changes of the store that this VM has seen."""

import collections

from bramleyworks.platform import kv_item

MAX_CHANGES = 4000


class StoreHistory:
    """Tells items of an old copy of the store from new changes.

    A restored store gives out revisions again, so a revision alone does not
    show on which side of the restore an item was written.
    """

    def __init__(self):
        self._seen: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )
        # Changes up to this revision may not have been seen one by one.
        self._complete_since = 0

    def add(self, item: kv_item.KvItem) -> None:
        """Adds a change."""
        self._seen[item.key, item.revision] = hash(item.value)
        if len(self._seen) > MAX_CHANGES:
            (_, revision), _ = self._seen.popitem(last=False)
            self.skip_to(revision)

    def skip_to(self, revision: int) -> None:
        """Notes that changes up to a revision may have been missed."""
        self._complete_since = max(self._complete_since, revision)

    def has_been_seen(self, item: kv_item.KvItem) -> bool:
        """Returns whether an item is a change from before the restore.

        It is taken for one if it may have been missed.
        """
        seen = self._seen.get((item.key, item.revision))
        if seen is not None:
            return seen == hash(item.value)
        return item.revision <= self._complete_since

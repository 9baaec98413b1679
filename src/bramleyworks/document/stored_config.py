"""The configuration as it is kept in the store."""

import msgspec

from bramleyworks.document import document
from bramleyworks.document import history_entry

CONFIG_KEY = "config"
HISTORY_LIMIT = 50


class StoredConfig(msgspec.Struct, frozen=True):
    """The value of the store key ``config``.

    Attributes:
        version: Increases by one with each successful write; the first is 1.
        apply_id: Random id of the write, by which a read recognises it after a
            lost reply.
        author: Operator who applied it.
        time_s: Unix time in seconds.
        doc: The document.
        history: The newest changes, newest first, at most ``HISTORY_LIMIT``.
    """

    version: int
    apply_id: str
    author: str
    time_s: float
    doc: document.Document
    history: tuple[history_entry.HistoryEntry, ...] = ()

"""One past change of the configuration."""

import msgspec


class HistoryEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who changed the configuration, when and how.

    Attributes:
        version: Version that the change produced.
        author: Operator who applied it.
        time_s: Unix time in seconds.
        summary: The changes in one line.
        apply_id: Random id of the write, by which later reads recognise it.
    """

    version: int
    author: str
    time_s: float
    summary: str
    apply_id: str = ""

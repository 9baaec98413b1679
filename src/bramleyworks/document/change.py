"""One difference between two documents."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True)
class Change:
    """A difference between two documents, formatted for operators.

    Attributes:
        kind: What happened to the item or field.
        path: The item by its identity, and the field, for example
            ``organisations[acme].rate_per_s``.
        old: Value before, empty if there was none.
        new: Value after, empty if there is none.
    """

    kind: Literal["added", "removed", "changed", "reordered"]
    path: str
    old: str = ""
    new: str = ""

    def __str__(self) -> str:
        if self.kind == "changed":
            return f"{self.path} changed from {self.old} to {self.new}"
        value = self.old or self.new
        return f"{self.path} {self.kind}" + (f": {value}" if value else "")

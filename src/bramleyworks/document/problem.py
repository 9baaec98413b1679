"""A validation problem of a document."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Problem:
    """A violated rule and the field that violates it.

    Attributes:
        path: The field, for example ``organisations[2].keys[0].digest``.
        rule: The rule with its bounds and unit, in one sentence.
    """

    path: str
    rule: str

    def __str__(self) -> str:
        return f"{self.path}: {self.rule}"

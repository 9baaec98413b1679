"""Position in the sequence of the store's changes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A revision and the era that it belongs to.

    Attributes:
        era: Increases when the store is restored from a copy, after which it
            gives out revisions again; 0 if unknown.
        revision: Revision within the era.
    """

    era: int = 0
    revision: int = 0

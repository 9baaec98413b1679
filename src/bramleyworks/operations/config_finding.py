"""Something wrong with a configuration of the users' platform."""

import dataclasses
from typing import Literal

Kind = Literal["invalid", "unreachable", "contradiction", "home-region"]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a configuration and its place.

    Attributes:
        kind: ``invalid`` for what VMs reject, misread or cannot use,
            ``unreachable`` for what never matches, ``contradiction`` for
            settings that exclude each other, ``home-region`` for home regions
            without upstreams.
        location: The entry or field, for example ``listeners[0].rules[2]``.
        reason: What is wrong, in one sentence without API keys.
    """

    kind: Kind
    location: str
    reason: str

    def __str__(self) -> str:
        return f"{self.location}: {self.kind}: {self.reason}"

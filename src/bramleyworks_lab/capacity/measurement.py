"""One measured cost as a function of a size."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Measurement:
    """How one cost is measured.

    Attributes:
        name: Name in the table and on the page.
        role: Role of the daemon that bears the cost.
        size_name: What the size counts.
        unit: Unit of the value.
        sizes: Sizes of a full run, three or more.
        tiny_sizes: Sizes for a test of the measurement itself.
        run: Returns the value at a size.
    """

    name: str
    role: str
    size_name: str
    unit: str
    sizes: tuple[int, ...]
    tiny_sizes: tuple[int, ...]
    run: Callable[[int], float]

"""Definition of one measured cost as a function of a size."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Measurement:
    """A cost and how to measure it.

    Attributes:
        name: Row name in the printed table and on the capacity page.
        role: Role of the daemon that incurs the cost.
        size_name: What the size counts.
        unit: Unit of the value.
        sizes: Sizes for a full run, at least three.
        tiny_sizes: Small sizes with which tests run the measurement.
        run: Measures the cost at a size; returns it in ``unit``.
    """

    name: str
    role: str
    size_name: str
    unit: str
    sizes: tuple[int, ...]
    tiny_sizes: tuple[int, ...]
    run: Callable[[int], float]

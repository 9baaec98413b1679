"""Rows of the printed table of measurements."""

import dataclasses
from collections.abc import Iterable

from bramleyworks_lab.capacity import fit
from bramleyworks_lab.capacity import measurement


@dataclasses.dataclass(frozen=True)
class Row:
    """The values of one measurement and the line fitted to them.

    Attributes:
        name: Name of the measurement.
        size_name: What the sizes count.
        unit: Unit of the values.
        sizes: Measured sizes.
        values: Value at each size.
        line: Line fitted to the values.
    """

    name: str
    size_name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    line: fit.Fit


def measure(item: measurement.Measurement, sizes: Iterable[int]) -> Row:
    """Runs a measurement at each size, in the given order."""
    used = tuple(sizes)
    values = tuple(item.run(size) for size in used)
    return make(item.name, item.size_name, item.unit, used, values)


def make(
    name: str,
    size_name: str,
    unit: str,
    sizes: tuple[int, ...],
    values: tuple[float, ...],
) -> Row:
    """Returns the row of measured values, with a line fitted to them.

    Raises:
        ValueError: The sizes and values do not determine a line.
    """
    return Row(name, size_name, unit, sizes, values, fit.line(sizes, values))


def text(item: Row) -> str:
    """Returns the row as one line of a Markdown table."""
    sizes = " / ".join(f"{size:,}" for size in item.sizes)
    values = " / ".join(f"{value:.4g}" for value in item.values)
    return (
        f"| {item.name} | {item.size_name} {sizes} | {values} |"
        f" {item.line.slope:.4g} | {item.line.intercept:.4g} | {item.unit} |"
    )


HEADER = (
    "| name | sizes | values | slope | intercept | unit |\n"
    "|---|---|---|---|---|---|"
)

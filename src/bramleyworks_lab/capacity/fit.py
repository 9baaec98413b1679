"""Least-squares fit of a straight line to measured values."""

import dataclasses
from collections.abc import Sequence

import numpy as np


@dataclasses.dataclass(frozen=True)
class Fit:
    """A line fitted by least squares.

    Attributes:
        slope: Increase of the value per unit of size.
        intercept: Value at size 0.
    """

    slope: float
    intercept: float

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.intercept + self.slope * size


def line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a line by least squares.

    Args:
        sizes: Sizes, shape ``(n,)`` with at least two distinct values.
        values: Measured values, shape ``(n,)``.

    Returns:
        The line with the smallest sum of squared errors.

    Raises:
        ValueError: The shapes differ or the sizes do not determine a line.
    """
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes but {len(values)} values")
    if len(set(sizes)) < 2:
        raise ValueError("a line needs at least two distinct sizes")
    # Sizes reach 1e6; scaling them keeps the matrix well conditioned.
    scale = max(abs(size) for size in sizes)
    x = np.asarray(sizes, dtype=float) / scale
    matrix = np.stack([x, np.ones_like(x)], axis=1)
    solution, *_ = np.linalg.lstsq(
        matrix, np.asarray(values, dtype=float), rcond=None
    )
    return Fit(float(solution[0]) / scale, float(solution[1]))

"""A straight line through measured values."""

import dataclasses
from collections.abc import Sequence

import numpy as np


@dataclasses.dataclass(frozen=True)
class Fit:
    """A least-squares line.

    Attributes:
        slope: Growth of the value for each unit of size.
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
        sizes: Sizes, shape ``(n,)`` with at least two different ones.
        values: Measured values, shape ``(n,)``.

    Raises:
        ValueError: The shapes differ or the sizes do not determine a line.
    """
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes but {len(values)} values")
    if len(set(sizes)) < 2:
        raise ValueError("a line needs two different sizes")
    # Sizes up to 1e6 are scaled, so that the matrix is well conditioned.
    scale = max(abs(size) for size in sizes)
    x = np.asarray(sizes, dtype=float) / scale
    matrix = np.stack([x, np.ones_like(x)], axis=1)
    solution, *_ = np.linalg.lstsq(
        matrix, np.asarray(values, dtype=float), rcond=None
    )
    return Fit(float(solution[0]) / scale, float(solution[1]))

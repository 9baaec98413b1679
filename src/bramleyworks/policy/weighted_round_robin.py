"""Deterministic weighted round robin."""

from collections.abc import Collection
from collections.abc import Mapping


class WeightedRoundRobin:
    """Smooth weighted round robin over names.

    The counts of any sequence of requests are within one request of the
    weights, which a random choice reaches only on average.
    """

    def __init__(self):
        self._credit: dict[str, float] = {}

    def next(
        self,
        weights: Mapping[str, float],
        allowed: Collection[str] | None = None,
    ) -> str | None:
        """Returns the next name, or None if none is usable.

        Args:
            weights: Weight by name.
            allowed: Names to choose from, None for all.
        """
        usable = {
            name: weight
            for name, weight in weights.items()
            if weight > 0.0 and (allowed is None or name in allowed)
        }
        if not usable:
            return None
        total = sum(usable.values())
        for name in [n for n in self._credit if n not in weights]:
            del self._credit[name]
        for name, weight in usable.items():
            self._credit[name] = self._credit.get(name, 0.0) + weight / total
        chosen = max(usable, key=lambda name: self._credit[name])
        self._credit[chosen] -= 1.0
        return chosen

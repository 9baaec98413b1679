"""Random service times with a seed."""

import math
import random
import time
from collections.abc import Callable

from bramleyworks_standins import upstream_options

# Spread of the lognormal distribution: its p99 is about 5 times its mean.
LOGNORMAL_SIGMA = 1.0


class ServiceTime:
    """Draws the service time of each run, longer during a cold start."""

    def __init__(
        self,
        options: upstream_options.UpstreamOptions,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._options = options
        self._random = random.Random(options.seed)
        self._clock = clock
        self._started_s = clock()

    def draw_s(self) -> float:
        """Returns the service time of the next run in seconds."""
        return self._draw_warm_s() * self._cold_factor()

    def _draw_warm_s(self) -> float:
        mean_s = self._options.mean_ms / 1000
        if self._options.distribution == "exponential":
            return self._random.expovariate(1.0) * mean_s
        if self._options.distribution == "lognormal":
            mu = -(LOGNORMAL_SIGMA**2) / 2
            return mean_s * math.exp(self._random.gauss(mu, LOGNORMAL_SIGMA))
        return mean_s

    def _cold_factor(self) -> float:
        if not self._options.cold_s:
            return 1.0
        elapsed_fraction = (
            self._clock() - self._started_s
        ) / self._options.cold_s
        return 1.0 + (self._options.cold_factor - 1.0) * max(
            0.0, 1.0 - elapsed_fraction
        )

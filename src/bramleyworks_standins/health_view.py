"""What the health endpoint of a stand-in upstream shows."""

import collections
import time
from collections.abc import Callable

from bramleyworks_standins import upstream_faults

KEEP_S = 60.0


class HealthView:
    """Answers with the true state, an old one or a false one."""

    def __init__(
        self,
        read_state: Callable[[], dict],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._read_state = read_state
        self._clock = clock
        self._frozen = read_state()
        self._past: collections.deque[tuple[float, dict]] = collections.deque()

    def on_switch(self, faults: upstream_faults.UpstreamFaults) -> None:
        """Starts from the present state after a change of the switches."""
        if faults.health != "freeze" or self._frozen is None:
            self._frozen = self._read_state()
        self._past.clear()
        if faults.health == "lag":
            self.on_state(faults)

    def on_state(self, faults: upstream_faults.UpstreamFaults) -> None:
        """Keeps the present state for a lagging answer."""
        if faults.health != "lag":
            return
        now_s = self._clock()
        self._past.append((now_s, self._read_state()))
        while len(self._past) > 1 and self._past[1][0] < now_s - KEEP_S:
            self._past.popleft()

    def show(self, faults: upstream_faults.UpstreamFaults) -> dict:
        """Returns the answer under the given switches."""
        if faults.health == "freeze":
            return self._frozen
        if faults.health == "lie":
            return {**self._read_state(), **faults.health_lie}
        if faults.health == "lag":
            seen_s = self._clock() - faults.health_lag_s
            while len(self._past) > 1 and self._past[1][0] <= seen_s:
                self._past.popleft()
            return self._past[0][1]
        return self._read_state()

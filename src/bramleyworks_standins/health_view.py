"""Response of the health endpoint of a stand-in upstream."""

import collections
import time
from collections.abc import Callable

from bramleyworks_standins import upstream_faults

HISTORY_S = 60.0


class HealthView:
    """Reports the current state, an old one or a false one."""

    def __init__(
        self,
        read_state: Callable[[], dict],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._read_state = read_state
        self._clock = clock
        self._frozen_state = read_state()
        self._history: collections.deque[tuple[float, dict]] = (
            collections.deque()
        )

    def on_faults_change(self, faults: upstream_faults.UpstreamFaults) -> None:
        """Discards the history and, unless frozen, records the state."""
        if faults.health != "freeze" or self._frozen_state is None:
            self._frozen_state = self._read_state()
        self._history.clear()
        if faults.health == "lag":
            self.record_state(faults)

    def record_state(self, faults: upstream_faults.UpstreamFaults) -> None:
        """Records the current state if the responses are to lag."""
        if faults.health != "lag":
            return
        now_s = self._clock()
        self._history.append((now_s, self._read_state()))
        while (
            len(self._history) > 1 and self._history[1][0] < now_s - HISTORY_S
        ):
            self._history.popleft()

    def report(self, faults: upstream_faults.UpstreamFaults) -> dict:
        """Returns the response body under the given fault switches."""
        if faults.health == "freeze":
            return self._frozen_state
        if faults.health == "lie":
            return {**self._read_state(), **faults.health_lie}
        if faults.health == "lag":
            reported_s = self._clock() - faults.health_lag_s
            while len(self._history) > 1 and self._history[1][0] <= reported_s:
                self._history.popleft()
            return self._history[0][1]
        return self._read_state()

"""Spreads clients' work over turns of the event loop."""

import asyncio
import collections
from collections.abc import Callable

# Does a part of a client's work, at most as many units as it is given. Returns
# the units used and whether some is left.
Step = Callable[[int], tuple[int, bool]]

# Units of one client at once, and of all in a turn: about 0.5 and 4 ms.
DEFAULT_CLIENT_UNITS = 256
DEFAULT_TURN_UNITS = 2000


class TurnScheduler:
    """Runs the work that clients have left, in turns, with a bound on each.

    Work is counted in units: one for each field or chunk that is parsed.

    Attributes:
        client_units: Units that one client may use at once.
        deferrals: How often a client's work was put off.
    """

    def __init__(
        self,
        client_units: int = DEFAULT_CLIENT_UNITS,
        turn_units: int = DEFAULT_TURN_UNITS,
    ):
        """Initializes a scheduler without work.

        Args:
            client_units: Units that one client may use at once.
            turn_units: Units that all clients may use in a turn of the loop.
        """
        self.deferrals = 0
        self.configure(client_units, turn_units)
        self._steps: collections.deque[Step] = collections.deque()
        self._is_scheduled = False

    def configure(self, client_units: int, turn_units: int) -> None:
        """Replaces the units of one client and of all."""
        self.client_units = client_units
        self._turn_units = turn_units

    def add(self, step: Step) -> None:
        """Adds work; it is repeated until nothing of it is left."""
        self.deferrals += 1
        self._steps.append(step)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        left = self._turn_units
        while self._steps and left > 0:
            step = self._steps.popleft()
            used, has_more = step(self.client_units)
            left -= max(1, used)
            if has_more:
                self._steps.append(step)
        if self._steps and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

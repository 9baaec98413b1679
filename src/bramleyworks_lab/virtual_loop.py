"""Event loop on virtual time, which advances only while it is idle."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time by the timeout instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks on virtual time; sleeping takes no real time.

    The selector never blocks, so a loop without timers busy-waits. Tasks must
    not wait for real sockets.
    """

    def __init__(self, start_s: float = 1000.0):
        self._time_selector = _VirtualTimeSelector()
        self._time_selector.now_s = start_s
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._time_selector.now_s


def run(coro):
    """Runs a coroutine on a new ``VirtualLoop`` and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coro)

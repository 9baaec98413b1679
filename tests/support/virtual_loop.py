"""Event loop whose time advances only when no callback is ready."""

import asyncio
import selectors


class _NoWaitSelector(selectors.SelectSelector):
    """Advances the loop's virtual time instead of waiting."""

    now_s = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError(
                "no callback is scheduled: the loop would wait forever"
            )
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs asyncio code on virtual time, which ``time`` returns."""

    def __init__(self):
        self._virtual = _NoWaitSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now_s


def run(main):
    """Runs ``main(loop)`` to completion on virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()

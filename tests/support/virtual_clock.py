"""Clock that tests advance manually."""


class VirtualClock:
    """Replaces time.monotonic and time.time."""

    def __init__(self, now_s: float = 1000.0):
        self.now_s = now_s

    def __call__(self) -> float:
        return self.now_s

    def advance(self, seconds: float) -> None:
        self.now_s += seconds

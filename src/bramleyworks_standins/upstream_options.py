"""Options of a stand-in upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpstreamOptions:
    """Options set on the command line.

    Attributes:
        name: Name in responses.
        version: Version in responses, including the health endpoint's.
        slots: Requests that run at once.
        queue: Requests that may wait for a slot, 0 to shed at once.
        mean_ms: Mean service time in milliseconds.
        distribution: ``"fixed"``, ``"exponential"`` or ``"lognormal"``.
        seed: Seed of all random draws.
        cold_s: Duration of the cold start in seconds, 0 for none.
        cold_factor: Multiplier of the service time at the start; it falls
            linearly to 1 over ``cold_s``.
    """

    name: str = "upstream"
    version: str = "v1"
    slots: int = 5
    queue: int = 0
    mean_ms: float = 5.0
    distribution: str = "fixed"
    seed: int = 1
    cold_s: float = 0.0
    cold_factor: float = 3.0

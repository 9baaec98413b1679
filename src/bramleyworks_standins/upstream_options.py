"""The fixed properties of a stand-in upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpstreamOptions:
    """What the command line sets.

    Attributes:
        name: Name shown in answers.
        version: Version shown by the health endpoint and in answers.
        slots: Requests that run at once.
        queue: Requests that may wait for a slot, 0 to shed at once.
        mean_ms: Mean service time in milliseconds.
        distribution: ``"fixed"``, ``"exponential"`` or ``"lognormal"``.
        seed: Seed of all random draws.
        cold_s: Seconds after the start in which the upstream is slower.
        cold_factor: Factor on the service time at the start; it falls evenly
            to 1 over ``cold_s``.
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

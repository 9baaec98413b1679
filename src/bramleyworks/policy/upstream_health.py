"""Health of an upstream as known to the VM that owns it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """Health from requests and probes; times are monotonic seconds.

    Attributes:
        failures: Number of consecutive failed requests.
        probe_failures: Number of consecutive failed probes.
        draining: Whether its latest probe reported that it is draining.
        excluded: Whether it is excluded.
        excluded_by_probes: Whether it was excluded on failed probes alone.
        next_half_open_s: Earliest time of the next half-open probe while it is
            excluded.
        backoff_s: Wait after the next failed half-open probe.
        readmitted_s: When it was last readmitted or stopped draining, ``-inf``
            if never; its cache is cold then.
    """

    failures: int = 0
    probe_failures: int = 0
    draining: bool = False
    excluded: bool = False
    excluded_by_probes: bool = False
    next_half_open_s: float = 0.0
    backoff_s: float = 1.0
    readmitted_s: float = float("-inf")

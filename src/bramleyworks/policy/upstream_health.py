"""What an owner knows about the health of one upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """Evidence from requests and probes; times are monotonic seconds.

    Attributes:
        failures: Consecutive failed requests.
        probe_failures: Consecutive failed probes.
        draining: Whether its last probe said that it is about to stop.
        excluded: Whether it is excluded.
        excluded_by_probes: Whether failed probes alone excluded it.
        next_half_open_s: Earliest time of the next trial request while
            excluded.
        backoff_s: Wait after the next failed trial.
        readmitted_s: When it last came back, ``-inf`` if never; it is cold
            then.
    """

    failures: int = 0
    probe_failures: int = 0
    draining: bool = False
    excluded: bool = False
    excluded_by_probes: bool = False
    next_half_open_s: float = 0.0
    backoff_s: float = 1.0
    readmitted_s: float = float("-inf")

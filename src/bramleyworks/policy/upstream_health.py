"""What an owner knows about the health of one upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """Evidence from requests and probes; times are monotonic seconds.

    Attributes:
        failures: Consecutive failed requests.
        probe_failures: Consecutive failed probes.
        draining: Whether its last probe said that it is about to stop.
        out: Whether it is excluded.
        by_probes: Whether failed probes alone excluded it.
        trial_s: Earliest time of the next trial request while excluded.
        pause_s: Wait after the next failed trial.
        returned_s: When it last came back, ``-inf`` if never; it is cold then.
    """

    failures: int = 0
    probe_failures: int = 0
    draining: bool = False
    out: bool = False
    by_probes: bool = False
    trial_s: float = 0.0
    pause_s: float = 1.0
    returned_s: float = float("-inf")

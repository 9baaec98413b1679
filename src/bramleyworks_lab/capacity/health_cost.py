"""Cost of health checks, by number of upstreams that a VM owns."""

from bramleyworks.policy import outlier_detection
from bramleyworks.policy import probe_result
from bramleyworks.policy import upstream_health
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement

UPSTREAMS = (10, 100, 1000)
TINY_UPSTREAMS = (2, 4, 8)


def _states(count: int) -> dict[str, upstream_health.UpstreamHealth]:
    return {f"up-{i}": upstream_health.UpstreamHealth() for i in range(count)}


def _round_us(count: int) -> float:
    states = _states(count)
    result = probe_result.ProbeResult("ok", 0, 5, "v1")

    def probe_all() -> None:
        for name in states:
            states[name] = outlier_detection.after_probe(
                states[name], result, 1.0
            )
        outlier_detection.apply_probe_exclusions(states, 1.0)

    return cost.cpu_us(probe_all)


def _retained_bytes(count: int) -> float:
    return cost.retained_bytes(lambda: _states(count))


MEASUREMENTS = tuple(
    measurement.Measurement(
        name, "health", "upstreams", unit, UPSTREAMS, TINY_UPSTREAMS, run
    )
    for name, unit, run in (
        ("health-round", "us", _round_us),
        ("health-kept-bytes", "bytes", _retained_bytes),
    )
)

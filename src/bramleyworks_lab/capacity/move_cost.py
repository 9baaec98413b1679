"""Cost of the canary analysis of a version move."""

from bramleyworks.document import move
from bramleyworks.policy import canary_stats
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement
from bramleyworks_lab.capacity import synthetic

MEMBERS = (40, 400, 4000)
TINY_MEMBERS = (2, 4, 8)
ROUTES = (1, 4, 16)
TINY_ROUTES = (1, 2, 3)
MOVE = move.Move("m1", "service-0", "v1", "v2", 0.0, 3600.0)


def _routes(count: int) -> tuple[str, ...]:
    return tuple(f"/service-0/{i}" for i in range(count))


def _totals(routes: tuple[str, ...], requests: int) -> dict[str, list[int]]:
    part = canary_stats.COUNTS_LENGTH // 2
    group = [requests, 0, requests, *[0] * (part - 3)]
    return {
        f"{MOVE.id}/{route}/{version}": group * 2
        for route in routes
        for version in (MOVE.from_version, MOVE.to_version)
    }


def _analysis(members: int) -> canary_stats.CanaryAnalysis:
    analysis = canary_stats.CanaryAnalysis(MOVE, _routes(1))
    for i in range(members):
        analysis.merge(
            (synthetic.vm_name(i), "a"), _totals(_routes(1), 100), 10.0
        )
    return analysis


def _retained_bytes(members: int) -> float:
    return cost.retained_bytes(lambda: _analysis(members))


def _merge_us(routes: int) -> float:
    analysis = canary_stats.CanaryAnalysis(MOVE, _routes(routes))
    requests = 0

    def merge() -> None:
        nonlocal requests
        requests += 10
        analysis.merge(("vm", "a"), _totals(_routes(routes), requests), 10.0)

    return cost.cpu_us(merge)


MEASUREMENTS = (
    measurement.Measurement(
        "move-kept-bytes",
        "version control",
        "members heard",
        "bytes",
        MEMBERS,
        TINY_MEMBERS,
        _retained_bytes,
    ),
    measurement.Measurement(
        "move-merge",
        "version control",
        "routes under a move",
        "us",
        ROUTES,
        TINY_ROUTES,
        _merge_us,
    ),
)

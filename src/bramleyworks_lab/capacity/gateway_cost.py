"""Cost of the shared limits of a gateway by the number of its peers."""

import itertools

from bramleyworks.gateway import organisation
from bramleyworks.gateway import quotas
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement

PEERS = (10, 33, 65, 100)
TINY_PEERS = (2, 4, 8)
ORGANISATIONS = 140
# Organisations of which a peer reports other counts in its next heartbeat.
CHANGED = 6
# Ticks from one heartbeat of a peer to the next.
TICKS_PER_HEARTBEAT = 5
WINDOW_S = 5.0
OVER = 0.1
SLACK = 20.0


def _update_us(peers: int) -> float:
    """Returns the time of one update in which a fifth of the peers report."""
    names = [f"org-{number}" for number in range(ORGANISATIONS)]
    ticks = itertools.count(1)
    now_s = [0.0]
    limits = quotas.Quotas(WINDOW_S, OVER, SLACK, lambda: now_s[0])
    limits.prepare(
        {
            name: organisation.Organisation(
                name, (), None, 20.0, 20.0, frozenset()
            )
            for name in names
        }
    )
    reports = {
        f"vm-{number} 1": dict.fromkeys(names, (1, 1))
        for number in range(peers)
    }

    def update() -> None:
        tick = next(ticks)
        now_s[0] += 0.2
        for number, vm in enumerate(reports):
            if (number + tick) % TICKS_PER_HEARTBEAT:
                continue
            changed = {
                names[(tick + offset) % ORGANISATIONS]: (tick, 1)
                for offset in range(CHANGED)
            }
            reports[vm] = reports[vm] | changed
        limits.update_peers(reports, 0, 0.5)

    return cost.cpu_us(update)


MEASUREMENTS = (
    measurement.Measurement(
        "limits-update",
        "gateway",
        "peers",
        "us",
        PEERS,
        TINY_PEERS,
        _update_us,
    ),
)

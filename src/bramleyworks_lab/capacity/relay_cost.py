"""Propagation time, store reads and evidence age in a modelled fleet."""

import functools

from bramleyworks_lab.capacity import measurement
from bramleyworks_lab.capacity import relay_model

DAEMONS = (32, 96, 192)
TINY_DAEMONS = (4, 6, 8)


MEASUREMENTS = tuple(
    measurement.Measurement(
        name,
        "configuration relay",
        "daemons",
        "s (virtual)",
        DAEMONS,
        TINY_DAEMONS,
        functools.partial(relay_model.spread_s, dead=dead),
    )
    for name, dead in (("relay-time", 0), ("relay-time-dead-relay", 1))
) + (
    measurement.Measurement(
        "watch-reads",
        "configuration relay",
        "daemons",
        "1/s, fleet",
        DAEMONS,
        TINY_DAEMONS,
        relay_model.store_reads_per_s,
    ),
    measurement.Measurement(
        "evidence-age",
        "configuration relay",
        "daemons",
        "s (virtual)",
        DAEMONS,
        TINY_DAEMONS,
        relay_model.oldest_evidence_s,
    ),
)

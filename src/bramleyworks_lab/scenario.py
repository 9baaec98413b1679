"""Scenarios of the experiments."""

import dataclasses
from typing import Literal

Fault = Literal[
    "none",
    "drain",
    "region_loss",
    "store_down",
    "frozen",
    "vm_loss",
    "region_cut",
]
VersionFault = Literal[
    "none", "good", "at_once", "late", "under_load", "one_route"
]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load and faults of an experiment.

    Attributes:
        name: Name of the scenario, also its row in the table.
        load: Offered load as a fraction of the capacity of all slots.
        seconds: Measured virtual time in seconds.
        fault: Fault injected after a fifth of the time.
        heavy: Factor on the rate of the smallest organisation.
        version: Fault of the next version; ``"good"`` for none, ``"none"`` for
            no move.
        cold: Whether upstreams start cold for callers of other regions.
    """

    name: str
    load: float = 0.7
    seconds: float = 40.0
    fault: Fault = "none"
    heavy: float = 1.0
    version: VersionFault = "none"
    cold: bool = False


MOVE_SCENARIO_S = 120.0

ALL = {
    item.name: item
    for item in (
        Scenario("steady70"),
        Scenario("steady95", load=0.95),
        Scenario("heavy5x", heavy=5.0),
        Scenario("drain", fault="drain"),
        Scenario("vm_loss", fault="vm_loss"),
        Scenario("region_loss", load=0.5, fault="region_loss"),
        Scenario("region_cut", load=0.5, fault="region_cut"),
        Scenario("store_down", seconds=760.0, load=0.25, fault="store_down"),
        Scenario("frozen", fault="frozen"),
        Scenario("cold", fault="drain", cold=True),
        Scenario("good", load=0.5, seconds=MOVE_SCENARIO_S, version="good"),
        Scenario(
            "bad_at_once", load=0.5, seconds=MOVE_SCENARIO_S, version="at_once"
        ),
        Scenario("bad_late", load=0.5, seconds=MOVE_SCENARIO_S, version="late"),
        Scenario(
            "bad_under_load",
            load=0.5,
            seconds=MOVE_SCENARIO_S,
            version="under_load",
        ),
        Scenario(
            "bad_one_route",
            load=0.5,
            seconds=MOVE_SCENARIO_S,
            version="one_route",
        ),
    )
}

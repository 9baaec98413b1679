"""Warm-up state of shifts to another region."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ShiftRamp:
    """Shifts from this VM to one region; times are monotonic seconds.

    Attributes:
        started_s: First shift after the last idle period.
        last_shift_s: Latest shift, ``-inf`` if none.
        tokens: Shifts that may start at ``refilled_s`` while the region is
            cold.
        refilled_s: Time of the last refill of the tokens.
    """

    started_s: float = 0.0
    last_shift_s: float = float("-inf")
    tokens: float = 1.0
    refilled_s: float = float("-inf")

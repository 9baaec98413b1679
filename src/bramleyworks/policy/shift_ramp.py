"""How warm the path to another region is."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ShiftRamp:
    """Shifts from this VM to one region; times are monotonic seconds.

    Attributes:
        began_s: First shift after the last quiet time.
        last_s: Newest shift, ``-inf`` if none.
        tokens: Shifts that may start now while the region is cold.
        filled_s: Time at which the tokens were counted.
    """

    started_s: float = 0.0
    last_shift_s: float = float("-inf")
    tokens: float = 1.0
    refilled_s: float = float("-inf")

"""Why a request got no slot."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefusal:
    """A request that certainly did not run.

    Attributes:
        step: Step that refused it.
        peer: Service it was for.
        reason: Cause in a few words.
    """

    step: str
    peer: str
    reason: str

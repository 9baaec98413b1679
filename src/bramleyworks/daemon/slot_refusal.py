"""Error of a request that got no slot."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefusal:
    """Reason why a request got no slot; it did not run.

    Attributes:
        step: Step that refused the request.
        peer: Service of the request.
        reason: Short description of the cause.
    """

    step: str
    peer: str
    reason: str

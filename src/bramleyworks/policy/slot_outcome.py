"""How the use of a slot ended."""

import enum


class SlotOutcome(enum.Enum):
    """Evidence about the upstream from one use of its slot.

    Attributes:
        OK: The upstream answered.
        FAILED: The upstream failed.
        NEUTRAL: No evidence; no request was sent, or its caller left.
    """

    OK = "ok"
    FAILED = "failed"
    NEUTRAL = "neutral"

"""Result of the use of a slot."""

import enum


class SlotOutcome(enum.Enum):
    """What one use of a slot shows about the health of the upstream.

    Attributes:
        OK: The upstream responded.
        FAILED: The upstream failed.
        NEUTRAL: No evidence: no request was sent, or its caller disconnected.
    """

    OK = "ok"
    FAILED = "failed"
    NEUTRAL = "neutral"

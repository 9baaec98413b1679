"""The fault switches of the stand-in upstream."""

from typing import Literal

import msgspec


class UpstreamFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switches of an upstream.

    Shares are the parts of requests affected, 0 to 1. The switches after
    ``health_lie`` apply only to requests that meet the conditions.

    Attributes:
        health: ``"lag"`` shows the state of ``health_lag_s`` ago, ``"freeze"``
            the state at the time of the switch, ``"lie"`` the true state
            overwritten by ``health_lie``, ``"error"`` a 500 answer.
        health_lag_s: Lag of the health endpoint in seconds.
        health_lie: Fields of the health answer to overwrite.
        over_busy: Condition: more than this many slots are busy, the
            request's own included.
        path_prefix: Condition: the path starts so.
        after_s: Condition: this many seconds passed since the switch.
        late_share: Share of answers that are sent late.
        late_ms: Delay of a late answer, after the run gave back its slot.
        fail_share: Share of runs that end with 500.
        slow_factor: Factor on the service time.
        reset_share: Share of runs after which the connection is reset.
        short_share: Share of answers that end after half of the body.
        extra_share: Share of answers followed by a second answer, which a
            reused connection would deliver to its next request.
        extra_after_ms: Time from the answer to the second one.
        echo_id: Whether answers, also second ones, repeat ``X-Request-Id``;
            not subject to the conditions.
    """

    health: Literal["true", "lag", "freeze", "lie", "error"] = "true"
    health_lag_s: float = 0.0
    health_lie: dict = {}
    over_busy: int = 0
    path_prefix: str = ""
    after_s: float = 0.0
    late_share: float = 0.0
    late_ms: float = 0.0
    fail_share: float = 0.0
    slow_factor: float = 1.0
    reset_share: float = 0.0
    short_share: float = 0.0
    extra_share: float = 0.0
    extra_after_ms: float = 0.0
    echo_id: bool = True

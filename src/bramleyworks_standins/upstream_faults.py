"""Fault switches of the stand-in upstream."""

from typing import Literal

import msgspec


class UpstreamFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault switches of an upstream.

    Shares are fractions of the requests, 0 to 1. The switches after
    ``health_lie`` apply only to requests that meet the conditions.

    Attributes:
        health: Response of the health endpoint: ``"true"`` is the current
            state, ``"lag"`` the state ``health_lag_s`` ago, ``"freeze"`` the
            state at the last change of the switches before the freeze, or at
            the start, ``"lie"`` the current state with the fields of
            ``health_lie``, ``"error"`` status 500.
        health_lag_s: Lag of the health endpoint in seconds.
        health_lie: Fields that replace those of the health response.
        over_busy: Condition: more than this many slots are in use, including
            the request's own.
        path_prefix: Condition: the path starts with this prefix.
        after_s: Condition: seconds since the last change of the switches.
        late_share: Share of responses that are delayed.
        late_ms: Delay of a late response in milliseconds, after the run
            released its slot.
        fail_share: Share of runs that end with status 500.
        slow_factor: Multiplier of the service time.
        reset_share: Share of runs after which the connection is reset.
        short_share: Share of responses that end after half of the body.
        extra_share: Share of responses followed by a second response, which
            a reused connection would deliver to its next request.
        extra_after_ms: Milliseconds from the response to the second one.
        echo_id: Whether responses, including second ones, echo
            ``X-Request-Id``; not subject to the conditions.
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

"""When and where requests are shifted to another region."""

import math
from collections.abc import Iterable
from collections.abc import Mapping

from bramleyworks.document import link_cap
from bramleyworks.policy import shift_ramp
from bramleyworks.policy import wait_estimate

IDLE_RESET_S = 60.0
# Shares of the link cap while caches in the target region are cold, and the
# duration of each step.
RAMP_STEPS = (0.1, 0.25, 0.5, 0.75)
RAMP_STEP_S = 2.0
# Fraction of a step's shifts that may happen at once; a fixed burst of one
# second let 14 instead of 10 through in the first step of 2 s.
RAMP_BURST_FRACTION = 0.2
WAIT_WEIGHT = 0.1
WAIT_MAX_AGE_S = 2.0
# Header bytes that each request sends over the link.
HEADER_BYTES = 2048


def after_wait(
    state: wait_estimate.WaitEstimate, wait_s: float, now_s: float
) -> wait_estimate.WaitEstimate:
    """Returns the estimate after a request that waited ``wait_s``."""
    if now_s - state.at_s > WAIT_MAX_AGE_S:
        return wait_estimate.WaitEstimate(wait_s, now_s)
    average_s = state.wait_s + WAIT_WEIGHT * (wait_s - state.wait_s)
    return wait_estimate.WaitEstimate(average_s, now_s)


def expected_wait_s(
    state: wait_estimate.WaitEstimate, has_upstream: bool, now_s: float
) -> float:
    """Returns the expected wait in the home region in seconds.

    Args:
        state: Estimate of the wait.
        has_upstream: Whether the home region has a usable upstream; the wait
            is infinite without one.
        now_s: Monotonic time in seconds.
    """
    if not has_upstream:
        return math.inf
    return state.wait_s if now_s - state.at_s <= WAIT_MAX_AGE_S else 0.0


def should_shift(
    expected_s: float, waited_s: float, shift_after_s: float
) -> bool:
    """Returns whether a request without a free slot may leave its home region.

    Args:
        expected_s: Expected wait in the home region in seconds.
        waited_s: Time in seconds that the request has waited.
        shift_after_s: Wait in seconds above which requests are shifted.
    """
    return max(expected_s, waited_s) > shift_after_s


def target_regions(
    source: str,
    caps: Iterable[link_cap.LinkCap],
    free_slots: Mapping[str, int],
    drained: frozenset[str],
) -> list[str]:
    """Returns the regions to try, the one with the most free slots first.

    Args:
        source: Home region of the request.
        caps: All link caps; a region without one is never a target.
        free_slots: Free slots beyond the reserve by region, as last reported.
        drained: Regions that get no new requests.
    """
    targets = [
        cap.target
        for cap in caps
        if cap.source == source
        and cap.target != source
        and cap.requests_per_s > 0.0
        and cap.target not in drained
        and free_slots.get(cap.target, 0) > 0
    ]
    return sorted(targets, key=lambda name: (-free_slots[name], name))


def ramp_share(state: shift_ramp.ShiftRamp, now_s: float) -> float:
    """Returns the usable share of the link cap, 0.1 to 1."""
    if now_s - state.last_shift_s > IDLE_RESET_S:
        return RAMP_STEPS[0]
    step = int((now_s - state.started_s) / RAMP_STEP_S)
    return RAMP_STEPS[step] if step < len(RAMP_STEPS) else 1.0


def may_start(
    state: shift_ramp.ShiftRamp, cap_per_s: float, now_s: float
) -> tuple[shift_ramp.ShiftRamp, bool]:
    """Returns the refilled state and whether the ramp allows a shift.

    The ramp only slows shifts down; the cap itself is enforced by the link's
    token buckets.

    Args:
        state: State before the shift.
        cap_per_s: This VM's share of the link cap, in requests per second.
        now_s: Monotonic time in seconds.
    """
    usable = ramp_share(state, now_s)
    if usable >= 1.0:
        return state, True
    rate = usable * cap_per_s
    elapsed_s = min(max(now_s - state.refilled_s, 0.0), IDLE_RESET_S)
    burst = max(1.0, rate * RAMP_STEP_S * RAMP_BURST_FRACTION)
    tokens = min(state.tokens + rate * elapsed_s, burst)
    state = shift_ramp.ShiftRamp(
        state.started_s, state.last_shift_s, tokens, now_s
    )
    return state, tokens >= 1.0


def after_start(
    state: shift_ramp.ShiftRamp, now_s: float
) -> shift_ramp.ShiftRamp:
    """Returns the state after a shift has started."""
    was_idle = now_s - state.last_shift_s > IDLE_RESET_S
    return shift_ramp.ShiftRamp(
        now_s if was_idle else state.started_s,
        now_s,
        max(state.tokens - 1.0, 0.0),
        state.refilled_s,
    )


def request_bits(body_bytes: int) -> float:
    """Returns the bits that a shifted request sends over the link."""
    return 8.0 * (body_bytes + HEADER_BYTES)

"""Exclusion and return of upstreams from requests and probes (section 3.5)."""

import dataclasses
from collections.abc import Mapping

from bramleyworks.policy import probe_result
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import upstream_health

MAX_CONSECUTIVE_FAILURES = 3
# A trial risks a caller's request, so their distance doubles up to a bound.
HALF_OPEN_BACKOFF_S = 1.0
MAX_HALF_OPEN_BACKOFF_S = 16.0


def after_result(
    state: upstream_health.UpstreamHealth,
    outcome: slot_outcome.SlotOutcome,
    is_half_open: bool,
    now_s: float,
) -> upstream_health.UpstreamHealth:
    """Returns the state after one request.

    Args:
        state: State before.
        outcome: How the request ended.
        trial: Whether it was the trial request of an excluded upstream; other
            requests began before the exclusion and do not end it.
        now_s: Monotonic time in seconds.
    """
    if outcome is slot_outcome.SlotOutcome.NEUTRAL:
        return state
    if outcome is slot_outcome.SlotOutcome.OK:
        if is_half_open and state.excluded:
            return _readmitted(state, now_s)
        if state.failures == 0:
            return state
        return dataclasses.replace(state, failures=0)
    failures = state.failures + 1
    if state.excluded:
        if not is_half_open:
            return dataclasses.replace(state, failures=failures)
        return dataclasses.replace(
            state,
            failures=failures,
            excluded_by_probes=False,
            next_half_open_s=now_s + state.backoff_s,
            backoff_s=min(2 * state.backoff_s, MAX_HALF_OPEN_BACKOFF_S),
        )
    if (
        failures >= MAX_CONSECUTIVE_FAILURES
        or state.probe_failures >= MAX_CONSECUTIVE_FAILURES
    ):
        return _excluded(state, failures, False, now_s)
    return dataclasses.replace(state, failures=failures)


def after_probe(
    state: upstream_health.UpstreamHealth,
    reading: probe_result.ProbeResult | None,
    now_s: float,
) -> upstream_health.UpstreamHealth:
    """Returns the state after one probe, None if the probe failed.

    Exclusion by failed probes is left to ``apply_probe_exclusions``, which sees
    all upstreams of the service.
    """
    if reading is None or reading.status == "failing":
        failures = state.probe_failures + 1
        if (
            not state.excluded
            and failures >= MAX_CONSECUTIVE_FAILURES
            and state.failures
        ):
            # A failed request agrees with the probes.
            state = _excluded(state, state.failures, False, now_s)
        return dataclasses.replace(state, probe_failures=failures)
    if reading.status == "draining":
        return dataclasses.replace(state, draining=True, probe_failures=0)
    if state.draining:
        state = dataclasses.replace(state, draining=False, readmitted_s=now_s)
    if state.probe_failures == 0:
        return state
    if state.excluded and state.excluded_by_probes:
        state = dataclasses.replace(state, next_half_open_s=now_s)
    return dataclasses.replace(state, probe_failures=0)


def apply_probe_exclusions(
    states: Mapping[str, upstream_health.UpstreamHealth], now_s: float
) -> dict[str, upstream_health.UpstreamHealth]:
    """Excludes and readmits upstreams whose probes fail.

    At most half of the upstreams, rounded down, are excluded on probes alone,
    because the probes themselves may be what fails.

    Args:
        states: All upstreams of one service that this VM owns.
        now_s: Monotonic time in seconds.

    Returns:
        The states that change.
    """
    allowed = len(states) // 2
    out = sorted(
        n for n, s in states.items() if s.excluded and s.excluded_by_probes
    )
    changed = {}
    for name in out[allowed:]:
        changed[name] = _readmitted(states[name], now_s)
    room = allowed - len(out)
    for name in sorted(states):
        state = states[name]
        if room > 0 and not state.excluded and is_suspect(state):
            changed[name] = _excluded(state, state.failures, True, now_s)
            room -= 1
    return changed


def is_suspect(state: upstream_health.UpstreamHealth) -> bool:
    """Whether probes fail, so that other upstreams go first."""
    return state.probe_failures >= MAX_CONSECUTIVE_FAILURES


def _excluded(state, failures, by_probes, now_s):
    return dataclasses.replace(
        state,
        failures=failures,
        excluded=True,
        excluded_by_probes=by_probes,
        next_half_open_s=now_s + HALF_OPEN_BACKOFF_S,
        backoff_s=2 * HALF_OPEN_BACKOFF_S,
    )


def _readmitted(state, now_s):
    return upstream_health.UpstreamHealth(
        draining=state.draining, readmitted_s=now_s
    )


def after_half_open_start(
    state: upstream_health.UpstreamHealth, now_s: float
) -> upstream_health.UpstreamHealth:
    """Returns the state while a trial runs; no other one begins meanwhile."""
    return dataclasses.replace(state, next_half_open_s=now_s + state.backoff_s)

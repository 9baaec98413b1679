"""Exclusion and readmission of upstreams from request and probe results."""

import dataclasses
from collections.abc import Mapping

from bramleyworks.policy import probe_result
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import upstream_health

# An upstream is excluded once it reaches this number.
MAX_CONSECUTIVE_FAILURES = 3
# A half-open probe puts a caller's request at risk, so the wait between two
# doubles up to a maximum.
HALF_OPEN_BACKOFF_S = 1.0
MAX_HALF_OPEN_BACKOFF_S = 16.0


def after_result(
    state: upstream_health.UpstreamHealth,
    outcome: slot_outcome.SlotOutcome,
    is_half_open: bool,
    now_s: float,
) -> upstream_health.UpstreamHealth:
    """Returns the state after a request.

    Args:
        state: State before the request.
        outcome: Outcome of the request.
        is_half_open: Whether it was a half-open probe of an excluded upstream;
            other requests started before the exclusion and do not end it.
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


def after_crash(
    state: upstream_health.UpstreamHealth, now_s: float
) -> upstream_health.UpstreamHealth:
    """Returns the state of an upstream that is known to have ended."""
    if state.excluded:
        return state
    return _excluded(state, MAX_CONSECUTIVE_FAILURES, False, now_s)


def after_probe(
    state: upstream_health.UpstreamHealth,
    result: probe_result.ProbeResult | None,
    now_s: float,
) -> upstream_health.UpstreamHealth:
    """Returns the state after a health probe.

    Exclusion on failed probes alone is left to ``apply_probe_exclusions``,
    which sees all upstreams of the service.

    Args:
        state: State before the probe.
        result: Result of the probe, None if it failed.
        now_s: Monotonic time in seconds.
    """
    if result is None or result.status == "failing":
        failures = state.probe_failures + 1
        if (
            not state.excluded
            and failures >= MAX_CONSECUTIVE_FAILURES
            and state.failures
        ):
            # A failed request confirms the probes.
            state = _excluded(state, state.failures, False, now_s)
        return dataclasses.replace(state, probe_failures=failures)
    if result.status == "draining":
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
    """Excludes and readmits upstreams whose health probes fail.

    At most half of the upstreams, rounded down, are excluded on probes alone,
    because the fault may lie in the probes.

    Args:
        states: All upstreams of one service that this VM owns.
        now_s: Monotonic time in seconds.

    Returns:
        The states that change, by upstream.
    """
    allowed = len(states) // 2
    excluded = sorted(
        n for n, s in states.items() if s.excluded and s.excluded_by_probes
    )
    changed = {}
    for name in excluded[allowed:]:
        changed[name] = _readmitted(states[name], now_s)
    remaining = allowed - len(excluded)
    for name in sorted(states):
        state = states[name]
        if remaining > 0 and not state.excluded and is_suspect(state):
            changed[name] = _excluded(state, state.failures, True, now_s)
            remaining -= 1
    return changed


def is_suspect(state: upstream_health.UpstreamHealth) -> bool:
    """Returns whether probes fail, so that other upstreams are preferred."""
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
    """Returns the state after a half-open probe starts; delays the next one."""
    return dataclasses.replace(state, next_half_open_s=now_s + state.backoff_s)

"""Exclusion and return of upstreams from requests and probes (section 3.5)."""

import dataclasses
from collections.abc import Mapping

from bramleyworks.policy import probe_reading
from bramleyworks.policy import slot_outcome
from bramleyworks.policy import upstream_health

FAILURES_OUT = 3
# A trial risks a caller's request, so their distance doubles up to a bound.
TRIAL_PAUSE_S = 1.0
TRIAL_PAUSE_MAX_S = 16.0


def after_result(
    state: upstream_health.UpstreamHealth,
    outcome: slot_outcome.SlotOutcome,
    trial: bool,
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
        if trial and state.out:
            return _returned(state, now_s)
        if state.failures == 0:
            return state
        return dataclasses.replace(state, failures=0)
    failures = state.failures + 1
    if state.out:
        if not trial:
            return dataclasses.replace(state, failures=failures)
        return dataclasses.replace(
            state,
            failures=failures,
            by_probes=False,
            trial_s=now_s + state.pause_s,
            pause_s=min(2 * state.pause_s, TRIAL_PAUSE_MAX_S),
        )
    if failures >= FAILURES_OUT or state.probe_failures >= FAILURES_OUT:
        return _excluded(state, failures, False, now_s)
    return dataclasses.replace(state, failures=failures)


def after_probe(
    state: upstream_health.UpstreamHealth,
    reading: probe_reading.ProbeReading | None,
    now_s: float,
) -> upstream_health.UpstreamHealth:
    """Returns the state after one probe, None if the probe failed.

    Exclusion by failed probes is left to ``limit_probes``, which sees all
    upstreams of the service.
    """
    if reading is None or reading.status == "failing":
        failures = state.probe_failures + 1
        if not state.out and failures >= FAILURES_OUT and state.failures:
            # A failed request agrees with the probes.
            state = _excluded(state, state.failures, False, now_s)
        return dataclasses.replace(state, probe_failures=failures)
    if reading.status == "draining":
        return dataclasses.replace(state, draining=True, probe_failures=0)
    if state.draining:
        state = dataclasses.replace(state, draining=False, returned_s=now_s)
    if state.probe_failures == 0:
        return state
    if state.out and state.by_probes:
        state = dataclasses.replace(state, trial_s=now_s)
    return dataclasses.replace(state, probe_failures=0)


def limit_probes(
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
    out = sorted(n for n, s in states.items() if s.out and s.by_probes)
    changed = {}
    for name in out[allowed:]:
        changed[name] = _returned(states[name], now_s)
    room = allowed - len(out)
    for name in sorted(states):
        state = states[name]
        if room > 0 and not state.out and is_suspect(state):
            changed[name] = _excluded(state, state.failures, True, now_s)
            room -= 1
    return changed


def is_suspect(state: upstream_health.UpstreamHealth) -> bool:
    """Whether probes fail, so that other upstreams go first."""
    return state.probe_failures >= FAILURES_OUT


def _excluded(state, failures, by_probes, now_s):
    return dataclasses.replace(
        state,
        failures=failures,
        out=True,
        by_probes=by_probes,
        trial_s=now_s + TRIAL_PAUSE_S,
        pause_s=2 * TRIAL_PAUSE_S,
    )


def _returned(state, now_s):
    return upstream_health.UpstreamHealth(
        draining=state.draining, returned_s=now_s
    )


def trial_begun(
    state: upstream_health.UpstreamHealth, now_s: float
) -> upstream_health.UpstreamHealth:
    """Returns the state while a trial runs; no other one begins meanwhile."""
    return dataclasses.replace(state, trial_s=now_s + state.pause_s)

"""Verdict on a new version in moves that last seconds.

``canary_stats`` compares versions over minutes and many requests. Here the
whole move lasts a few seconds and the new version's upstreams start with cold
caches, so only clear differences count. Two rates of bad responses are compared
by their likelihood: one that a good version may have, and one of a faulty one.
"""

import dataclasses
import math

# Rate of bad responses that a good version may have beyond the old version's
# rate, because its caches are cold, and the highest one in all.
TOLERATED_RATE = 0.03
MAX_TOLERATED_RATE = 0.8
# Time in which the weight of the old version's responses halves in its recent
# rate, and the number of responses of its overall rate that it is mixed with.
RECENT_HALF_LIFE_S = 2.0
PRIOR_RESPONSES = 10.0
# Rate of overdue requests that is assumed without any of the old version.
PRIOR_OVERDUE_RATE = 0.1
# A faulty version has a rate that is higher by this.
FAULTY_RATE_MARGIN = 0.1
# Scores (log-likelihood ratios) at which a version is faulty, and suspect. One
# that has the tolerated rate reaches the first by chance with a probability of
# exp(-4.5).
FAULTY_SCORE = 4.5
SUSPECT_SCORE = 2.5
# Scores up to which a version is confirmed, and up to which one that is not
# confirmed may go on with its trial.
GOOD_SCORE = -2.5
TRIAL_SCORE = 1.25
# With fewer bad responses chance decides. Connections that fail are not among
# them, so the crash of an upstream causes none.
MIN_BAD_RESPONSES = 4
# Good responses that confirm a version at least.
MIN_GOOD_RESPONSES = 12
# Latency, as a multiple of the expected one, above which a response is bad. A
# cold upstream takes up to twice as long as usual.
SLOW_FACTOR = 3.0
# Attempts with less time left than this multiple of the expected latency are
# near their deadline. Good versions miss some of these deadlines.
MIN_SLOW_FACTOR = 2.0
# With less time than this nearly every cold start misses the deadline, so that
# only responses count. In a model, judging these attempts took back most good
# versions.
MIN_JUDGED_FACTOR = 1.25
# Fraction of the latency objective within which no response is bad.
MIN_SLOW_OBJECTIVE_FRACTION = 0.5
# Fraction of the latency of a bad response after which a request is overdue.
OVERDUE_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Responses of one version on one route.

    Attributes:
        responses: Requests that the version completed or failed.
        bad: Those that failed or took several times as long as usual.
        open: Requests that it is working on.
        overdue: Those of them that take longer than usual.
    """

    responses: int = 0
    bad: int = 0
    open: int = 0
    overdue: int = 0


# Attempts near their deadlines that the old version is assumed to have had. An
# attempt that has just the expected time left misses its deadline in half of
# the cases.
NEAR_DEADLINE_PRIOR = Counts(responses=10, bad=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Alarm:
    """Cumulative sum of the scores of new evidence, never below zero.

    A fault that appears late, or under load, is not hidden by the good
    responses before it.

    Attributes:
        level: The sum.
        seen: The evidence about the new version that is part of it.
        old: The evidence about the old version at that time.
        recent_responses: Responses of the old version, decayed by age.
        recent_bad: Bad ones among them, decayed likewise.
    """

    level: float = 0.0
    seen: Counts = Counts()
    old: Counts = Counts()
    recent_responses: float = 0.0
    recent_bad: float = 0.0


def slow_after_s(
    expected_s: float, objective_s: float, remaining_s: float
) -> float:
    """Returns the latency in seconds after which a response is bad.

    Args:
        expected_s: Latency that is expected of a version without fault.
        objective_s: Latency objective of the route.
        remaining_s: Time left until the deadline of the request.

    Returns:
        Infinity if the deadline comes too early to tell.
    """
    if remaining_s < MIN_JUDGED_FACTOR * expected_s:
        return math.inf
    slow_s = max(
        SLOW_FACTOR * expected_s, MIN_SLOW_OBJECTIVE_FRACTION * objective_s
    )
    return min(slow_s, remaining_s)


def is_near_deadline(expected_s: float, remaining_s: float) -> bool:
    """Returns whether a good version may miss the deadline of an attempt.

    Such attempts are compared only with each other: the new version has more
    of them, since its caches are cold.

    Args:
        expected_s: Latency that is expected of a version without fault.
        remaining_s: Time left until the deadline of the request.
    """
    low, high = MIN_JUDGED_FACTOR * expected_s, MIN_SLOW_FACTOR * expected_s
    return low <= remaining_s < high


def near_deadline_baseline(old: Counts) -> Counts:
    """Returns what attempts near their deadlines are compared with.

    The old version may have few of them, so its rate of bad responses is raised
    by its standard error.

    Args:
        old: Such attempts of the old version.
    """
    known = add(old, NEAR_DEADLINE_PRIOR)
    rate = known.bad / known.responses
    error = math.sqrt(rate * (1.0 - rate) * known.responses)
    bad = min(known.responses, known.bad + math.ceil(error))
    return dataclasses.replace(known, bad=bad)


def add(one: Counts, other: Counts) -> Counts:
    """Returns the sum of two sets of counts."""
    return Counts(
        one.responses + other.responses,
        one.bad + other.bad,
        one.open + other.open,
        one.overdue + other.overdue,
    )


def advance(alarm: Alarm, new: Counts, old: Counts, since_s: float) -> Alarm:
    """Returns the alarm with all evidence.

    Args:
        alarm: The alarm before.
        new: All evidence about the new version.
        old: All evidence about the old version.
        since_s: Seconds since the alarm before.
    """
    added_old = _added(alarm.old, old)
    decay = 0.5 ** (since_s / RECENT_HALF_LIFE_S)
    recent_responses = alarm.recent_responses * decay + added_old.responses
    recent_bad = alarm.recent_bad * decay + added_old.bad
    rate = _bad_rate(old)
    # Trouble of the moment affects both versions.
    recent_rate = (recent_bad + PRIOR_RESPONSES * rate) / (
        recent_responses + PRIOR_RESPONSES
    )
    added = _added(alarm.seen, new)
    level = alarm.level + _score(added, max(rate, recent_rate))
    return Alarm(max(0.0, level), new, old, recent_responses, recent_bad)


def is_faulty(alarm: Alarm) -> bool:
    """Returns whether the new version is clearly worse than the old one."""
    return alarm.level >= FAULTY_SCORE and alarm.seen.bad >= MIN_BAD_RESPONSES


def is_alarmed(alarm: Alarm) -> bool:
    """Returns whether the new version seems worse by its responses."""
    return alarm.level >= SUSPECT_SCORE


def is_suspect(alarm: Alarm, old: Counts) -> bool:
    """Returns whether it seems worse by responses and overdue requests."""
    return alarm.level + _open_score(alarm.seen, old) >= SUSPECT_SCORE


def may_go_on(new: Counts, old: Counts) -> bool:
    """Returns whether the trial of a version may go on."""
    score = _score(new, _bad_rate(old)) + _open_score(new, old)
    return score <= TRIAL_SCORE


def is_confirmed(new: Counts, old: Counts) -> bool:
    """Returns whether enough requests were served well by the new version.

    Overdue requests count as bad, since those that take long are still open
    when the others have been served.
    """
    return (
        new.responses - new.bad >= MIN_GOOD_RESPONSES
        and _score(new, _bad_rate(old)) + _open_score(new, old) <= GOOD_SCORE
    )


def _added(before: Counts, now: Counts) -> Counts:
    """Returns the responses in between, none where a VM has ended."""
    return Counts(
        max(0, now.responses - before.responses), max(0, now.bad - before.bad)
    )


def _bad_rate(counts: Counts) -> float:
    """Returns the rate of bad responses."""
    return counts.bad / counts.responses if counts.responses else 0.0


def _score(new: Counts, old_rate: float) -> float:
    """Returns the log-likelihood ratio of a faulty and a good version.

    Args:
        new: Evidence about the new version.
        old_rate: Rate of bad responses of the old version.
    """
    good_rate = min(MAX_TOLERATED_RATE, TOLERATED_RATE + old_rate)
    faulty_rate = good_rate + FAULTY_RATE_MARGIN
    good = max(0, new.responses - new.bad)
    return new.bad * math.log(faulty_rate / good_rate) + good * math.log(
        (1.0 - faulty_rate) / (1.0 - good_rate)
    )


def _open_score(new: Counts, old: Counts) -> float:
    """Returns the score of open requests as if overdue ones were bad.

    Never below 0: requests that are open are no evidence for a version.
    """
    old_rate = (old.overdue + PRIOR_OVERDUE_RATE * PRIOR_RESPONSES) / (
        old.open + PRIOR_RESPONSES
    )
    return max(0.0, _score(Counts(new.open, new.overdue), old_rate))

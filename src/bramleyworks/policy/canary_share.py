"""Share of requests for a new version in moves that last seconds.

A version first gets a bounded number of requests, at a share that rises until
they are sent. Then it waits with a small share until its responses confirm it.
The schedule alone does not raise the share further: a slow version shows its
fault later than a failing one, and its good responses arrive before its bad
ones.
"""

# Share at the start of the trial, and its rise per second. Services with few
# requests, or few objects, need a larger share to get any evidence.
INITIAL_SHARE = 0.075
TRIAL_RISE_PER_S = 0.05
# Requests of the trial. With the waiting share they stay below the tenth of all
# requests and 50 more that a faulty version may get.
MAX_TRIAL_REQUESTS = 40
# Share of a version that is suspect, or not confirmed after the trial.
HOLD_SHARE = 0.06
# Share of a confirmed version until the ramp.
WAITING_SHARE = 0.04
# Fractions of the time to the deadline at which the share starts to ramp up and
# at which it reaches all requests. The ramp is quadratic: evidence is late, so
# the share has to be small while there is little of it.
RAMP_START_FRACTION = 0.4
RAMP_END_FRACTION = 0.75
# Least time in which the share doubles, as a fraction of the time to the
# deadline. One that was held back would else rise to all requests before there
# is any evidence of a larger share.
DOUBLING_FRACTION = 0.055
# Fraction of the time to the deadline from which a move that is held back can
# not be finished any more: the ramp and the last requests of the old version
# take longer than the rest.
GIVE_UP_FRACTION = 0.9
# Fraction of the VMs that one has to hear to give up before the deadline.
GIVE_UP_VISIBLE_FRACTION = 0.5
# Time in which the share of a suspect version halves if it is below the second
# figure.
RETREAT_HALF_LIFE_S = 0.2
MAX_RETREAT_SHARE = 0.6


def scheduled(elapsed_s: float, duration_s: float) -> float:
    """Returns the share of a confirmed version.

    Args:
        elapsed_s: Seconds since the start of the move.
        duration_s: Seconds from the start of the move to its deadline.
    """
    progress = elapsed_s / max(duration_s, 1e-3)
    if progress >= RAMP_END_FRACTION:
        return 1.0
    ramped = max(0.0, progress - RAMP_START_FRACTION) / (
        RAMP_END_FRACTION - RAMP_START_FRACTION
    )
    return WAITING_SHARE + (1.0 - WAITING_SHARE) * ramped**2


def trial(elapsed_s: float, duration_s: float) -> float:
    """Returns the share during the trial; arguments as for ``scheduled``."""
    rising = min(1.0, INITIAL_SHARE + TRIAL_RISE_PER_S * elapsed_s)
    return max(scheduled(elapsed_s, duration_s), rising)


def is_in_trial(requests: int, visible_fraction: float) -> bool:
    """Returns whether a version has not got all requests of its trial.

    Args:
        requests: Requests that it is known to have got.
        visible_fraction: Fraction of the VMs whose reports that comes from;
            those that can not be reached may send requests to it as well.
    """
    return requests < MAX_TRIAL_REQUESTS * visible_fraction


def is_too_late(
    elapsed_s: float, duration_s: float, visible_fraction: float
) -> bool:
    """Returns whether a move that is held back can not be done in time.

    Args:
        elapsed_s: Seconds since the start of the move.
        duration_s: Seconds from the start of the move to its deadline.
        visible_fraction: Fraction of the VMs that is heard. A VM that was cut
            off may lack the evidence that the others have.
    """
    hears_most = visible_fraction >= GIVE_UP_VISIBLE_FRACTION
    limit = GIVE_UP_FRACTION if hears_most else 1.0
    return elapsed_s >= limit * duration_s


def approach(
    current: float, target: float, since_s: float, duration_s: float
) -> float:
    """Returns the share after an update; it rises no faster than allowed.

    Args:
        current: Share before the update.
        target: Share to reach.
        since_s: Seconds since the last update.
        duration_s: Seconds from the start of the move to its deadline.
    """
    progress = since_s / max(duration_s, 1e-3)
    return min(target, current * 2.0 ** (progress / DOUBLING_FRACTION))


def retreat(current: float, since_s: float) -> float:
    """Returns the share of a suspect version after an update.

    A large share stays as it is, since there is no time to raise it again.

    Args:
        current: Share before the update.
        since_s: Seconds since the last update.
    """
    if current >= MAX_RETREAT_SHARE:
        return current
    lower = current * 0.5 ** (since_s / RETREAT_HALF_LIFE_S)
    return min(current, max(HOLD_SHARE, lower))

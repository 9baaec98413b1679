"""The bound on admitted requests in every window of time."""

import numpy as np


def max_excess(admitted, rate_per_s, burst):
    """Returns the most requests over burst + rate * window, at most 0 is good.

    A request counts in a window only if it was sent and answered inside it,
    so that it was surely admitted there. Windows that start at a request and
    end at an answer are the worst ones.

    Args:
        admitted: Pairs of the times sent and answered, in seconds.
        rate_per_s: Rate of the organisation.
        burst: Burst of the organisation.
    """
    pairs = np.array(sorted(admitted))
    worst = -np.inf
    for i, start_s in enumerate(pairs[:, 0]):
        ends_s = np.sort(pairs[i:, 1])
        counts = np.arange(1, len(ends_s) + 1)
        excess = counts - burst - rate_per_s * (ends_s - start_s)
        worst = max(worst, excess.max())
    return float(worst)

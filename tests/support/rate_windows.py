"""Check of a rate limit over every time window."""

import numpy as np


def max_excess(admitted, rate_per_s, burst):
    """Returns by how much requests exceed burst + rate * window at most.

    A request counts in a window only if it was sent and answered inside it, as
    only then it was certainly admitted there. The largest excess is reached in
    a window that starts when a request is sent and ends with a response.

    Args:
        admitted: Pairs of the times of request and response, in seconds.
        rate_per_s: Requests per second of the limit.
        burst: Burst of the limit, in requests.

    Returns:
        The largest excess, in requests; at most 0 if the limit holds.
    """
    times = np.array(sorted(admitted))
    largest = -np.inf
    for i, start_s in enumerate(times[:, 0]):
        ends_s = np.sort(times[i:, 1])
        counts = np.arange(1, len(ends_s) + 1)
        excess = counts - burst - rate_per_s * (ends_s - start_s)
        largest = max(largest, excess.max())
    return float(largest)

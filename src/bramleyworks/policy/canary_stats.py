"""Sequential tests of whether a new version is worse than the old one.

Each test counts a binary outcome of the new version's requests: failed, or
slower than 1.3 times the old version's p95 latency on that route (at most 5%
are, unless the ratio of the p95 values exceeds 1.3).

Each test is a sequential probability ratio test (Wald, "Sequential Tests of
Statistical Hypotheses", Annals of Mathematical Statistics 16(2), 1945) with
two alternative hypotheses, which can only reject the new version. If the new
version is not worse, the likelihood ratio is a test martingale, and by Ville's
inequality ("Etude critique de la notion de collectif", 1939) the probability
that it ever reaches 1/a is at most a. The test may therefore be evaluated
after every sample.

To detect a fault that appears late, the test restarts at 8 evenly spaced
times, and the restart with the highest ratio counts, as in the cumulative sum
test (Page, "Continuous Inspection Schemes", Biometrika 41, 1954). By the union
bound over tests, alternatives and restarts, the move to a good version
is aborted with a probability of at most ``MAX_FALSE_ABORT_PROBABILITY``,
provided that the old version's rate is known and requests fail independently.
"""

import math
from collections.abc import Iterator

from bramleyworks.document import move as move_module
from bramleyworks.policy import move_schedule
from bramleyworks.policy import sample as sample_module

MAX_FALSE_ABORT_PROBABILITY = 0.005
RESTARTS = 8
# A failure rate counts as higher only above this multiple of the old one plus
# this margin, so that a difference of no practical relevance is ignored.
RATE_FACTOR = 1.25
RATE_MARGIN = 0.001
SLOW_LATENCY_FACTOR = 1.3
SLOW_RATE = 0.05
# Increase of the rate under each of the two alternatives.
FAIL_RATE_INCREASES = (0.03, 0.3)
SLOW_RATE_INCREASES = (0.1, 0.4)
# An upstream that crashes fails up to 5 requests at once, because upstreams
# have at most 5 slots today. That plus two random failures must not count
# against the version: with a minimum of 6, 3 of 100 simulated good moves at
# 40 requests/s were aborted when one upstream crashed.
MIN_EVENTS = 8
# Samples of the old version needed for a p95 of useful precision.
MIN_LATENCY_SAMPLES = 100

_LONG_WINDOW_SAMPLES = 8000
_SHORT_WINDOW_SAMPLES = 400
_BUCKETS_PER_OCTAVE = 16
_MIN_LATENCY_S = 1e-4
_BUCKETS = _BUCKETS_PER_OCTAVE * 24
_MAX_HISTOGRAM_SAMPLES = 8000

# Indexes in a list of counts; the counts of busy samples follow 4 further on.
_REQUESTS, _FAILED, _TIMED, _SLOW = range(4)
_COUNTS_PER_LOAD = 4
COUNTS_LENGTH = 2 * _COUNTS_PER_LOAD


class LatencyHistogram:
    """Histogram of recent latencies; bucket bounds differ by 4%.

    Mutable, because copying the buckets for each request would be too slow.
    When it is full, all counts are halved, so that old samples decay.

    Attributes:
        total: Sum of the counts.
    """

    def __init__(self):
        self._buckets = [0] * _BUCKETS
        self.total = 0

    def add(self, latency_s: float) -> None:
        """Adds a latency in seconds."""
        ratio = max(latency_s / _MIN_LATENCY_S, 1.0)
        index = int(math.log2(ratio) * _BUCKETS_PER_OCTAVE)
        self._buckets[min(index, _BUCKETS - 1)] += 1
        self.total += 1
        if self.total >= _MAX_HISTOGRAM_SAMPLES:
            self._buckets = [count // 2 for count in self._buckets]
            self.total = sum(self._buckets)

    def quantile(self, fraction: float) -> float:
        """Returns the upper bound in seconds of a quantile's bucket."""
        remaining = fraction * self.total
        index = 0
        while index < _BUCKETS and remaining > 0:
            remaining -= self._buckets[index]
            index += 1
        return _MIN_LATENCY_S * 2 ** (index / _BUCKETS_PER_OCTAVE)


class Baseline:
    """Rate of an event in the old version, over recent samples.

    The upper limit is the larger of a confidence limit over many samples and
    the plain rate over the latest ones: a fault outside both versions raises
    the old version's rate too and must not abort the new one.
    """

    __slots__ = ("_long", "_short")

    def __init__(self):
        self._long = [0.0, 0.0]
        self._short = [0.0, 0.0]

    def add(self, requests: int, events: int) -> None:
        """Adds samples of the old version."""
        for window, limit in (
            (self._long, _LONG_WINDOW_SAMPLES),
            (self._short, _SHORT_WINDOW_SAMPLES),
        ):
            window[0] += requests
            window[1] += events
            if window[0] > limit:
                scale = limit / window[0]
                window[0] *= scale
                window[1] *= scale

    @property
    def requests(self) -> float:
        """Number of samples in the long window."""
        return self._long[0]

    def upper_limit(self) -> float:
        """Returns the upper limit of the rate, or 1 without samples.

        The confidence limit is the Wilson score limit with z = 2 (Wilson,
        Journal of the American Statistical Association 22, 1927).
        """
        count, events = self._long
        if count < 1:
            return 1.0
        rate = events / count
        spread = math.sqrt(rate * (1 - rate) / count + 1 / (count * count))
        limit = (rate + 2 / count + 2 * spread) / (1 + 4 / count)
        short_count, short_events = self._short
        if short_events >= 3:
            limit = max(limit, short_events / short_count)
        return min(limit, 1.0)


class SequentialTest:
    """Log likelihood ratios of the two alternatives since each restart.

    The ratios since different restarts differ only by a constant, so the
    restart with the lowest sum gives the highest ratio.
    """

    __slots__ = ("_sums", "_lowest", "_events", "_events_at_lowest")

    def __init__(self):
        self._sums = [0.0, 0.0]
        self._lowest = [0.0, 0.0]
        self._events = 0
        self._events_at_lowest = [0, 0]

    def restart(self) -> None:
        """Starts another run of the test at the current sums."""
        for index, total in enumerate(self._sums):
            if total < self._lowest[index]:
                self._lowest[index] = total
                self._events_at_lowest[index] = self._events

    def add(self, events: int, ratios: tuple[float, float]) -> None:
        """Adds the log likelihood ratios of new samples."""
        self._events += events
        self._sums[0] += ratios[0]
        self._sums[1] += ratios[1]

    def exceeds(self, limit: float) -> bool:
        """Returns whether the ratio of either alternative reaches a limit."""
        return any(
            total - lowest >= limit and self._events - before >= MIN_EVENTS
            for total, lowest, before in zip(
                self._sums, self._lowest, self._events_at_lowest, strict=True
            )
        )


def log_likelihood_ratios(
    requests: int, events: int, rate: float, increases: tuple[float, float]
) -> tuple[float, float]:
    """Returns the log likelihood ratios of a batch of samples.

    Args:
        requests: Number of samples.
        events: Number of samples with the event.
        rate: Highest rate that a good version may have.
        increases: Increase of the rate under each alternative.
    """
    if rate >= 0.9 or requests == 0:
        return (0.0, 0.0)
    non_events = requests - events
    first, second = (rate + (1 - rate) * increase for increase in increases)
    return (
        events * math.log(first / rate)
        + non_events * math.log((1 - first) / (1 - rate)),
        events * math.log(second / rate)
        + non_events * math.log((1 - second) / (1 - rate)),
    )


class _RouteState:
    """This VM's counts for a route, and the tests over all VMs."""

    __slots__ = (
        "counts",
        "histograms",
        "thresholds",
        "fail_base",
        "slow_base",
        "tests",
    )

    def __init__(self, versions: tuple[str, str]):
        self.counts = {version: [0] * COUNTS_LENGTH for version in versions}
        self.histograms = (LatencyHistogram(), LatencyHistogram())
        self.thresholds = [math.inf, math.inf]
        self.fail_base = (Baseline(), Baseline())
        self.slow_base = (Baseline(), Baseline())
        self.tests = _new_tests()


def _new_tests() -> dict[tuple[str, str], SequentialTest]:
    return {
        (event, load): SequentialTest()
        for event in ("failed", "slow")
        for load in ("any load", "over 70% load")
    }


class CanaryAnalysis:
    """Compares the two versions of a move over all VMs.

    Mutable, because copying the counts for each request would be too slow.
    Samples are compared only with samples of the same route and the same load
    (over or under 70% busy), since the new version's few upstreams run at full
    load while the old ones do not.
    """

    def __init__(self, version_move: move_module.Move, routes: tuple[str, ...]):
        self._move = version_move
        self._routes: dict[str, _RouteState] = {}
        self._pooled_tests = _new_tests()
        self._last_totals: dict[tuple, list[int]] = {}
        self._limit = math.inf
        self._restart_index = 0
        self.add_routes(routes)

    def add_routes(self, routes: tuple[str, ...]) -> None:
        """Adds routes; routes that were added before keep their counts."""
        versions = (self._move.from_version, self._move.to_version)
        for route in routes:
            if route not in self._routes:
                self._routes[route] = _RouteState(versions)
        tests = (
            len(self._pooled_tests)
            * (len(self._routes) + 1)
            * len(FAIL_RATE_INCREASES)
        )
        self._limit = math.log(tests * RESTARTS / MAX_FALSE_ABORT_PROBABILITY)

    def record_sample(self, sample: sample_module.Sample) -> None:
        """Counts a request of this VM."""
        state = self._routes.get(sample.route)
        counts = state.counts.get(sample.version) if state else None
        if counts is None:
            return
        load = 1 if sample.busy else 0
        first = load * _COUNTS_PER_LOAD
        counts[first + _REQUESTS] += 1
        if sample.failed:
            # Failures are often fast and say nothing about latency.
            counts[first + _FAILED] += 1
            return
        threshold_s = state.thresholds[load]
        if threshold_s != math.inf:
            counts[first + _TIMED] += 1
            if sample.latency_s > threshold_s:
                counts[first + _SLOW] += 1
        if sample.version == self._move.from_version:
            state.histograms[load].add(sample.latency_s)

    def totals(self) -> dict[str, list[int]]:
        """Returns this VM's counts by ``MOVE/ROUTE/VERSION``."""
        return {
            f"{self._move.id}/{route}/{version}": list(counts)
            for route, state in self._routes.items()
            for version, counts in state.counts.items()
            if counts[_REQUESTS] or counts[_COUNTS_PER_LOAD + _REQUESTS]
        }

    def merge(
        self,
        source: tuple[str, str],
        totals: dict[str, list[int]],
        now_s: float,
    ) -> None:
        """Adds a VM's counts since its previous report to the tests.

        Args:
            source: Name and incarnation of the VM.
            totals: Its cumulative counts as returned by ``totals``.
            now_s: Unix time in seconds.
        """
        progress = (now_s - self._move.start_s) / move_schedule.duration_s(
            self._move
        )
        restart_index = max(0, min(int(progress * RESTARTS), RESTARTS - 1))
        if restart_index != self._restart_index:
            self._restart_index = restart_index
            for test in self._tests():
                test.restart()
        for route, state in self._routes.items():
            old = self._new_counts(
                source, route, self._move.from_version, totals
            )
            new = self._new_counts(source, route, self._move.to_version, totals)
            if old is not None:
                self._add_old_version(state, old)
            if new is not None:
                self._add_new_version(state, new)

    def check(self, source: tuple[str, str], now_s: float) -> str | None:
        """Merges this VM's own counts and evaluates the tests.

        Args:
            source: Name and incarnation of this VM.
            now_s: Unix time in seconds.

        Returns:
            A message that names the test that rejects the new version, or
            None.
        """
        self._set_thresholds()
        self.merge(source, self.totals(), now_s)
        for route, state in self._routes.items():
            for (event, load), test in state.tests.items():
                if test.exceeds(self._limit):
                    return f"more requests {event} on {route} at {load}"
        for (event, load), test in self._pooled_tests.items():
            if test.exceeds(self._limit):
                return f"more requests {event} on all routes at {load}"
        return None

    def _tests(self) -> Iterator[SequentialTest]:
        yield from self._pooled_tests.values()
        for state in self._routes.values():
            yield from state.tests.values()

    def _set_thresholds(self) -> None:
        for state in self._routes.values():
            for load, histogram in enumerate(state.histograms):
                if histogram.total >= MIN_LATENCY_SAMPLES:
                    state.thresholds[load] = (
                        SLOW_LATENCY_FACTOR * histogram.quantile(0.95)
                    )

    def _new_counts(
        self,
        source: tuple[str, str],
        route: str,
        version: str,
        totals: dict[str, list[int]],
    ) -> list[int] | None:
        total = totals.get(f"{self._move.id}/{route}/{version}")
        if total is None or len(total) != COUNTS_LENGTH:
            return None
        key = (source, route, version)
        last = self._last_totals.get(key)
        if last == total:
            return None
        self._last_totals[key] = list(total)
        if last is None:
            return list(total)
        delta = [
            current - previous
            for current, previous in zip(total, last, strict=True)
        ]
        if min(delta) < 0:
            # Counts never decrease, so this heartbeat is older.
            self._last_totals[key] = last
            return None
        return delta

    def _add_old_version(self, state: _RouteState, delta: list[int]) -> None:
        for load in range(2):
            part = delta[
                load * _COUNTS_PER_LOAD : (load + 1) * _COUNTS_PER_LOAD
            ]
            state.fail_base[load].add(part[_REQUESTS], part[_FAILED])
            state.slow_base[load].add(part[_TIMED], part[_SLOW])

    def _add_new_version(self, state: _RouteState, delta: list[int]) -> None:
        for load in range(2):
            part = delta[
                load * _COUNTS_PER_LOAD : (load + 1) * _COUNTS_PER_LOAD
            ]
            if not part[_REQUESTS]:
                continue
            failed = log_likelihood_ratios(
                part[_REQUESTS],
                part[_FAILED],
                _fail_rate(state, load),
                FAIL_RATE_INCREASES,
            )
            slow = log_likelihood_ratios(
                part[_TIMED],
                part[_SLOW],
                _slow_rate(state, load),
                SLOW_RATE_INCREASES,
            )
            loads = ("any load", "over 70% load")[: load + 1]
            for name in loads:
                for tests in (state.tests, self._pooled_tests):
                    tests["failed", name].add(part[_FAILED], failed)
                    tests["slow", name].add(part[_SLOW], slow)


def _fail_rate(state: _RouteState, load: int) -> float:
    rate = RATE_FACTOR * state.fail_base[load].upper_limit() + RATE_MARGIN
    # With few samples of the old version at this load, its rate at the other
    # load gives a loose upper bound.
    other = state.fail_base[1 - load].upper_limit()
    return min(rate, 3 * (RATE_FACTOR * other + RATE_MARGIN) + 0.01)


def _slow_rate(state: _RouteState, load: int) -> float:
    return max(SLOW_RATE, RATE_FACTOR * state.slow_base[load].upper_limit())

"""Counts requests that upstreams begin, as attempts are made."""

import types
from collections.abc import Callable

from bramleyworks import errors
from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.policy import fleet_clock
from bramleyworks.policy import isolation
from bramleyworks.policy import placement
from bramleyworks.policy import usage_counts


class MeteredAttempt:
    """One attempt; counts when it is sent and corrects that by its outcome.

    It is counted before its response comes, since that may be later than the
    report of its window.
    """

    __slots__ = (
        "_choice",
        "_is_settled",
        "_meter",
        "_organisation",
        "_rtt_s",
        "_sent_s",
        "_upstream",
        "_window",
    )

    def __init__(
        self,
        meter: "UsageMeter",
        organisation: str,
        upstream: upstream_module.Upstream,
        rtt_s: float,
        choice: placement.Choice,
        sent_s: float,
    ):
        """Counts an attempt that was sent.

        Args:
            meter: Meter to count with.
            organisation: Name of the request's organisation.
            upstream: Upstream that it was sent to.
            rtt_s: Round trip to the upstream in seconds.
            choice: Expectations with which the upstream was chosen.
            sent_s: Monotonic time in seconds.
        """
        self._meter = meter
        self._organisation = organisation
        self._upstream = upstream
        self._rtt_s = rtt_s
        self._choice = choice
        self._sent_s = sent_s
        self._is_settled = False
        self._window = meter.window_of(self._began_s(None))
        meter.counts.add(self._window, organisation, 1)

    def __enter__(self) -> "MeteredAttempt":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        if exc is not None and not self._is_settled and not self._may_run(exc):
            self.record_not_run()

    def record_response(self, elapsed_s: float, sending_s: float = 0.0) -> None:
        """Corrects the time at which the work began.

        Args:
            elapsed_s: Seconds from sending the request to the response.
            sending_s: Seconds that its body took before that.
        """
        self._is_settled = True
        self._sent_s += sending_s
        window = self._meter.window_of(self._began_s(elapsed_s))
        if window != self._window:
            counts = self._meter.counts
            counts.add(self._window, self._organisation, -1)
            counts.add(window, self._organisation, 1)
            self._window = window

    def record_not_run(self) -> None:
        """Takes back the count of a request that did not run."""
        if self._is_settled:
            return
        self._is_settled = True
        self._meter.counts.add(self._window, self._organisation, -1)

    def _began_s(self, elapsed_s: float | None) -> float:
        """Returns the monotonic time at which the work began."""
        return self._sent_s + usage_counts.began_after_s(
            self._rtt_s, self._choice.wait_s, self._choice.work_s, elapsed_s
        )

    def _may_run(self, exc: BaseException) -> bool:
        """Returns whether the work probably began before an attempt failed.

        Upstreams drop requests that wait if their connection ends. One that
        has responded to nothing since, for longer than usual, has probably not
        received the request.
        """
        now_s = self._meter.now_s()
        if now_s < self._began_s(None):
            return False
        if isinstance(exc, errors.UpstreamError):
            if exc.not_run:
                return False
            if exc.step == upstream_conn.CONNECTION_LOST_STEP:
                return True
        overdue_s = isolation.overdue_after_s(self._choice.expected_s)
        return (
            self._upstream.last_response_s >= self._sent_s
            or now_s - self._sent_s < overdue_s
        )


class UnmeteredAttempt:
    """An attempt that is not counted."""

    __slots__ = ()

    def __enter__(self) -> "UnmeteredAttempt":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Does nothing."""

    def record_response(self, elapsed_s: float, sending_s: float = 0.0) -> None:
        """Does nothing."""

    def record_not_run(self) -> None:
        """Does nothing."""


_UNMETERED = UnmeteredAttempt()


class NoMeter:
    """Counts nothing, where no usage is reported."""

    def start(
        self,
        organisation: organisation_module.Organisation | None,
        upstream: upstream_module.Upstream,
        rtt_s: float,
        choice: placement.Choice,
    ) -> UnmeteredAttempt:
        """Returns an attempt that is not counted."""
        del organisation, upstream, rtt_s, choice
        return _UNMETERED


class UsageMeter:
    """Counts the requests that this VM sends to upstreams.

    Attributes:
        counts: The counts.
        now_s: Monotonic time in seconds.
    """

    def __init__(
        self,
        clock: fleet_clock.FleetClock,
        report_s: float,
        now_s: Callable[[], float],
    ):
        """Initializes counts without requests.

        Args:
            clock: Shared time of day.
            report_s: Length of a window in seconds.
            now_s: Monotonic time in seconds.
        """
        self.counts = usage_counts.UsageCounts()
        self.now_s = now_s
        self._clock = clock
        self._report_s = report_s

    def window_of(self, at_s: float) -> int:
        """Returns the window of a monotonic time."""
        return usage_counts.window_of(self._clock.time_s(at_s), self._report_s)

    def start(
        self,
        organisation: organisation_module.Organisation | None,
        upstream: upstream_module.Upstream,
        rtt_s: float,
        choice: placement.Choice,
    ) -> MeteredAttempt | UnmeteredAttempt:
        """Counts an attempt that was sent.

        Args:
            organisation: Organisation of the request, None on public routes,
                which are not counted.
            upstream: Upstream that it was sent to.
            rtt_s: Round trip to the upstream in seconds.
            choice: Expectations with which the upstream was chosen.
        """
        if organisation is None:
            return _UNMETERED
        return MeteredAttempt(
            self, organisation.name, upstream, rtt_s, choice, self.now_s()
        )

"""This VM's evidence about the versions of a service during a move."""

import asyncio
import math
from collections.abc import Awaitable
from collections.abc import Callable

from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import canary_verdict

# End of the key of evidence from attempts near their deadlines. Builds that do
# not know it take it for a part of the route's name.
NEAR_DEADLINE_SUFFIX = " near the deadline"


class _Tally:
    """Attempts at the upstreams of one version, on one route.

    Mutable, because it changes with each attempt.

    Attributes:
        responses: Attempts that were judged.
        bad: Those of them that were bad.
        open: Attempts that are not judged yet.
        overdue: Those of them that take longer than usual.
        uncounted: Attempts that ended without a judgement.
    """

    __slots__ = ("responses", "bad", "open", "overdue", "uncounted")

    def __init__(self):
        self.responses = 0
        self.bad = 0
        self.open = 0
        self.overdue = 0
        self.uncounted = 0


class Observation:
    """One attempt as evidence about the version of its upstream.

    Only what the upstream does counts: a failed connection may be due to a
    single upstream or its network.
    """

    __slots__ = (
        "_tally",
        "_slow_after_s",
        "_is_near_deadline",
        "_is_open",
        "_is_overdue",
    )

    def __init__(
        self, tally: _Tally, slow_after_s: float, is_near_deadline: bool
    ):
        self._tally = tally
        self._slow_after_s = slow_after_s
        self._is_near_deadline = is_near_deadline
        self._is_open = True
        self._is_overdue = False
        tally.open += 1

    def record_response(self, status: int, elapsed_s: float) -> None:
        """Judges the attempt by its response.

        Args:
            status: Status of the response.
            elapsed_s: Seconds from the request to the head of the response.
        """
        self._judge(status >= 500 or elapsed_s > self._slow_after_s)

    async def watch(
        self,
        upstream: upstream_module.Upstream,
        check_health: Callable[[], Awaitable[bool]],
        last_contact_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        """Judges the attempt when its response is late.

        Its deadline or its caller may end it before a response arrives. Only an
        upstream that responds to something shows that its version is slow,
        and only while this VM reaches upstreams at all.

        Args:
            upstream: The upstream of the attempt.
            check_health: Returns whether it responds to a health check.
            last_contact_s: Returns the monotonic time in seconds at which any
                upstream last responded to this VM.
            clock: Monotonic time in seconds.
        """
        if math.isinf(self._slow_after_s):
            return
        sent_s = clock()
        overdue_after_s = canary_verdict.OVERDUE_FRACTION * self._slow_after_s
        await asyncio.sleep(overdue_after_s)
        if upstream.last_response_s > sent_s:
            self.record_overdue()
        await asyncio.sleep(self._slow_after_s - overdue_after_s)
        if upstream.is_leaving or upstream.pause_s:
            # It wants no further request, not even a health check.
            return
        is_live = (
            upstream.last_response_s > sent_s
            and last_contact_s() > sent_s + overdue_after_s
        )
        if is_live or await check_health():
            self.record_lateness()

    def record_overdue(self) -> None:
        """Records that it takes longer than usual at an upstream that lives.

        Near a deadline the time until then is no longer than usual.
        """
        if self._is_near_deadline:
            return
        if self._is_open and not self._is_overdue:
            self._is_overdue = True
            self._tally.overdue += 1

    def record_lateness(self) -> None:
        """Judges the attempt while its response is late."""
        self._judge(True)

    def _judge(self, is_bad: bool) -> None:
        """Counts a judgement unless there was one before."""
        if not self._is_open:
            return
        self._end()
        self._tally.responses += 1
        self._tally.bad += int(is_bad)

    def close(self) -> None:
        """Ends an attempt that nothing can be said about."""
        if self._is_open:
            self._end()
            self._tally.uncounted += 1

    def _end(self) -> None:
        self._is_open = False
        self._tally.open -= 1
        self._tally.overdue -= int(self._is_overdue)


class VersionEvidence:
    """Evidence of this VM about both versions of a move, by route."""

    def __init__(self):
        self._tallies: dict[str, _Tally] = {}

    def observe(
        self,
        version: str,
        route: str,
        slow_after_s: float,
        is_near_deadline: bool = False,
    ) -> Observation:
        """Returns the observation of an attempt that starts now.

        Args:
            version: Version of the upstream.
            route: Route of the request.
            slow_after_s: Seconds after which a response is bad.
            is_near_deadline: Whether a good version may miss its deadline.
        """
        key = f"{version} {route}"
        if is_near_deadline:
            key += NEAR_DEADLINE_SUFFIX
        tally = self._tallies.setdefault(key, _Tally())
        return Observation(tally, slow_after_s, is_near_deadline)

    def counts(self) -> dict[str, canary_verdict.Counts]:
        """Returns what was counted by ``VERSION ROUTE``."""
        return {
            key: canary_verdict.Counts(t.responses, t.bad, t.open, t.overdue)
            for key, t in self._tallies.items()
        }

    def summary(self) -> dict[str, list[int]]:
        """Returns judged, bad, open and uncounted attempts, for logs."""
        return {
            key: [t.responses, t.bad, t.open, t.uncounted]
            for key, t in self._tallies.items()
        }

"""This VM's evidence about the versions of a service during a move."""

from bramleyworks.policy import canary_verdict


class _Tally:
    """Attempts at the upstreams of one version, on one route.

    Mutable, because it changes with each attempt.

    Attributes:
        responses: Attempts that were judged.
        bad: Those of them that were bad.
        open: Attempts that are not judged yet.
        uncounted: Attempts that ended without a judgement.
    """

    __slots__ = ("responses", "bad", "open", "uncounted")

    def __init__(self):
        self.responses = 0
        self.bad = 0
        self.open = 0
        self.uncounted = 0


class Observation:
    """One attempt as evidence about the version of its upstream."""

    __slots__ = ("_tally", "_is_open")

    def __init__(self, tally: _Tally):
        self._tally = tally
        self._is_open = True
        tally.open += 1

    def record(self, is_bad: bool) -> None:
        """Judges the attempt; only the first judgement counts."""
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


class VersionEvidence:
    """Evidence of this VM about both versions of a move, by route."""

    def __init__(self):
        self._tallies: dict[str, _Tally] = {}

    def observe(self, version: str, route: str) -> Observation:
        """Returns the observation of an attempt that starts now."""
        return Observation(
            self._tallies.setdefault(f"{version} {route}", _Tally())
        )

    def counts(self) -> dict[str, canary_verdict.Counts]:
        """Returns what was counted by ``VERSION ROUTE``."""
        return {
            key: canary_verdict.Counts(t.responses, t.bad, t.open)
            for key, t in self._tallies.items()
        }

    def summary(self) -> dict[str, list[int]]:
        """Returns judged, bad, open and uncounted attempts, for logs."""
        return {
            key: [t.responses, t.bad, t.open, t.uncounted]
            for key, t in self._tallies.items()
        }

"""Record of the requests that a stand-in upstream ran."""

import collections

MAX_IDENTIFIERS = 200_000
API_KEY_HEADERS = ("authorization", "x-api-key")


class RunRecord:
    """Counts runs, and requests that did not run or did not complete.

    A run is counted once the request has a slot and its body is complete.

    Attributes:
        counts: Number of events by name.
        key_header_seen: Whether any request carried a caller's API key.
    """

    def __init__(self):
        self._by_request = collections.Counter()
        self._by_ticket = collections.Counter()
        self._by_organisation = collections.Counter()
        self.counts = collections.Counter()
        self.key_header_seen = False

    def record_request(self, headers) -> None:
        """Counts a received request and checks it for an API key."""
        self.counts["requests"] += 1
        if any(name in headers for name in API_KEY_HEADERS):
            self.key_header_seen = True

    def record_run(self, headers) -> None:
        """Counts a run, also by organisation, request id and ticket."""
        self.counts["runs"] += 1
        self._by_organisation[headers.get("x-organisation", "")] += 1
        self._count_identifier(self._by_request, headers.get("x-request-id"))
        self._count_identifier(self._by_ticket, headers.get("idempotency-key"))

    def _count_identifier(
        self, counter: collections.Counter, identifier: str | None
    ) -> None:
        if identifier is None:
            return
        if identifier in counter or len(counter) < MAX_IDENTIFIERS:
            counter[identifier] += 1
        else:
            self.counts["unrecorded"] += 1

    def as_dict(self) -> dict:
        """Returns the response body of ``GET /-/runs``."""
        names = (
            "requests",
            "runs",
            "shed",
            "past_deadline",
            "cancelled",
            "incomplete",
            "runs_after_drain",
            "unrecorded",
        )
        return {
            **{name: self.counts[name] for name in names},
            "key_header_seen": self.key_header_seen,
            "by_request": dict(self._by_request),
            "by_ticket": dict(self._by_ticket),
            "by_organisation": dict(self._by_organisation),
        }

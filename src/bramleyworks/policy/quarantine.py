"""Requests that end the upstreams that run them (queries of death).

A request is quarantined when several upstreams ended while they ran it and
none responded to it since. One response clears a request: a popular one is in
flight wherever an upstream ends, but it is served elsewhere at the same time. A
query of death is never served.

Several VMs learn of the same end of an upstream, so ends are merged as sets.
Ages instead of times are exchanged, and a merge never makes old news young.
"""

import dataclasses
import math
from collections.abc import Callable
from collections.abc import Mapping

# Upstreams that end under a request before it is quarantined. With fewer, a
# request is suspected that met two crashes by chance.
MAX_ENDED_UPSTREAMS = 3
# Seconds from the quarantine to each trial, in which one VM may send the
# request once more. A response ends the quarantine. Few, since each may cost an
# upstream; the first one is early for requests that were suspected wrongly when
# several upstreams ended at once.
TRIAL_DELAYS_S = (2.0, 20.0)
# Seconds for which a suspected and a quarantined request are remembered.
SUSPECT_TTL_S = 60.0
QUARANTINE_TTL_S = 3600.0
# Bounds on memory and messages. Each entry has cost an upstream.
MAX_ENTRIES = 512
MAX_ENDS_PER_ENTRY = 16
MAX_MERGED_ENDS = 64
MAX_REPORTED = 32
# Time for which a change is part of each report; later ones are reported only
# where all entries are.
RECENT_S = 3.0

# Ended upstreams, those of them that were cleared, trials, age in seconds.
Report = tuple[list[int], list[int], int, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What is known of one request; times are monotonic seconds.

    Attributes:
        ended: Upstreams that ended while they ran it.
        cleared: Those of them that it is not blamed for, since it was served.
        trials: Number of trials that were made.
        since_s: When the latest upstream ended under it.
        changed_s: When this was last changed.
    """

    ended: frozenset[int] = frozenset()
    cleared: frozenset[int] = frozenset()
    trials: int = 0
    since_s: float = -math.inf
    changed_s: float = -math.inf

    @property
    def blame(self) -> int:
        """Number of upstreams that it is blamed for."""
        return len(self.ended - self.cleared)

    @property
    def is_quarantined(self) -> bool:
        """Whether it is kept from upstreams."""
        return self.blame >= MAX_ENDED_UPSTREAMS

    @property
    def next_trial_s(self) -> float:
        """Time of the next trial, infinity after the last one."""
        if self.trials >= len(TRIAL_DELAYS_S):
            return math.inf
        return self.since_s + TRIAL_DELAYS_S[self.trials]


class Quarantine:
    """Requests under which upstreams ended, by fingerprint."""

    def __init__(self, clock: Callable[[], float]):
        """Initializes an empty quarantine.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._entries: dict[str, Entry] = {}

    def get(self, fingerprint: str) -> Entry | None:
        """Returns what is known of a request, None for nothing."""
        entry = self._entries.get(fingerprint)
        if entry is not None and self._is_expired(entry):
            del self._entries[fingerprint]
            return None
        return entry

    def record_end(self, fingerprint: str, upstream: int) -> Entry:
        """Records that an upstream ended while it ran a request.

        Args:
            fingerprint: Identifies the request.
            upstream: Identifies the upstream and its start.

        Returns:
            What is known of the request now.
        """
        now_s = self._clock()
        known = self.get(fingerprint) or Entry()
        if upstream in known.ended:
            return known
        if len(known.ended) >= MAX_ENDS_PER_ENTRY:
            if known.blame:
                return known
            # It was served again and again; only later ends count.
            known = Entry()
        entry = dataclasses.replace(
            known,
            ended=known.ended | {upstream},
            since_s=now_s,
            changed_s=now_s,
        )
        self._store(fingerprint, entry)
        return entry

    def withdraw_end(self, fingerprint: str, upstream: int) -> None:
        """Records that an upstream has not ended after all.

        Args:
            fingerprint: Identifies the request.
            upstream: Identifies the upstream and its start.
        """
        known = self.get(fingerprint)
        if known is None or upstream in known.cleared:
            return
        self._store(
            fingerprint,
            dataclasses.replace(
                known,
                cleared=known.cleared | {upstream},
                changed_s=self._clock(),
            ),
        )

    def record_response(self, fingerprint: str) -> bool:
        """Clears a request that was served; returns whether it was blamed."""
        known = self.get(fingerprint)
        if known is None or not known.blame:
            return False
        self._store(
            fingerprint,
            dataclasses.replace(
                known, cleared=known.ended, changed_s=self._clock()
            ),
        )
        return True

    def start_trial(self, fingerprint: str) -> bool:
        """Counts a trial of a quarantined request if one is due.

        Returns:
            Whether the request may be sent.
        """
        known = self.get(fingerprint)
        now_s = self._clock()
        if known is None or now_s < known.next_trial_s:
            return False
        self._store(
            fingerprint,
            dataclasses.replace(
                known, trials=known.trials + 1, changed_s=now_s
            ),
        )
        return True

    def reports(self, only_recent: bool) -> dict[str, Report]:
        """Returns what other VMs have to know.

        Args:
            only_recent: Whether to leave out what has not changed lately.
        """
        now_s = self._clock()
        oldest_s = now_s - RECENT_S if only_recent else -math.inf
        found = [
            (fingerprint, entry)
            for fingerprint, entry in self._entries.items()
            if entry.changed_s >= oldest_s and not self._is_expired(entry)
        ]
        found.sort(
            key=lambda item: (item[1].blame, item[1].changed_s), reverse=True
        )
        return {
            fingerprint: (
                sorted(entry.ended),
                sorted(entry.cleared),
                entry.trials,
                round(now_s - entry.since_s, 1),
            )
            for fingerprint, entry in found[:MAX_REPORTED]
        }

    def merge(self, reports: Mapping[str, Report]) -> None:
        """Merges what another VM knows."""
        now_s = self._clock()
        for fingerprint, (ended, cleared, trials, age_s) in reports.items():
            known = self.get(fingerprint) or Entry()
            merged = dataclasses.replace(
                known,
                ended=known.ended | frozenset(ended),
                cleared=known.cleared | frozenset(cleared),
                trials=max(known.trials, trials),
                since_s=max(known.since_s, now_s - age_s),
            )
            has_news = merged != dataclasses.replace(
                known, since_s=merged.since_s
            )
            if (
                not has_news
                or self._is_expired(merged)
                or len(merged.ended | merged.cleared) > MAX_MERGED_ENDS
            ):
                continue
            self._store(
                fingerprint, dataclasses.replace(merged, changed_s=now_s)
            )

    def _store(self, fingerprint: str, entry: Entry) -> None:
        self._entries.pop(fingerprint, None)
        self._entries[fingerprint] = entry
        if len(self._entries) <= MAX_ENTRIES:
            return
        self._entries = {
            f: e for f, e in self._entries.items() if not self._is_expired(e)
        }
        while len(self._entries) > MAX_ENTRIES:
            # Suspects go first, then the oldest.
            dropped = min(
                self._entries, key=lambda f: self._entries[f].is_quarantined
            )
            del self._entries[dropped]

    def _is_expired(self, entry: Entry) -> bool:
        ttl_s = QUARANTINE_TTL_S if entry.is_quarantined else SUSPECT_TTL_S
        return self._clock() - entry.since_s > ttl_s

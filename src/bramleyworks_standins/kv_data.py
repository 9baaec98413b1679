"""Items, leases and history of the stand-in store ``kv_store``."""

import dataclasses
import time


@dataclasses.dataclass(frozen=True)
class Row:
    """One item and the revisions of its creation and last change."""

    key: str
    value: str
    rev: int
    created: int
    lease_id: int


class KvData:
    """Items, leases and history; each change gets its own revision.

    Attributes:
        revision: Revision of the last change.
        rows: Items by key.
        history: Changes since the history was last compacted.
        compacted_revision: Oldest revision from which changes can be read.
        era: Number of times that the store was restored from a copy, plus one.
    """

    def __init__(self, clock=time.monotonic):
        self.revision = 1
        self.rows: dict[str, Row] = {}
        self.history: list[dict] = []
        self.compacted_revision = 1
        self.era = 1
        self._clock = clock
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease_id = 100
        self._copy = (1, {}, {}, 100)

    def put(self, key: str, value: str, lease_id: int = 0) -> int:
        """Writes an item and returns the new revision."""
        self.revision += 1
        previous = self.rows.get(key)
        created = previous.created if previous else self.revision
        row = Row(key, value, self.revision, created, lease_id)
        self.rows[key] = row
        self.history.append(dataclasses.asdict(row))
        return self.revision

    def remove(self, key: str) -> None:
        """Removes an item if it exists."""
        if self.rows.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {"key": key, "rev": self.revision, "deleted": True}
            )

    def txn(self, body: dict) -> tuple[int, dict]:
        """Runs a compare-and-swap; returns the status and response body."""
        conditions = body.get("if_rev") or []
        current = [self.rows.get(c["key"]) for c in conditions]
        for condition, row in zip(conditions, current, strict=True):
            if (row.rev if row else 0) != condition["rev"]:
                items = [dataclasses.asdict(r) for r in current if r]
                return 412, {"items": items}
        puts = body.get("puts") or []
        for item in puts:
            lease_id = item.get("lease_id") or 0
            if lease_id and lease_id not in self._leases:
                return 404, {}
        for item in puts:
            self.put(item["key"], item["value"], item.get("lease_id") or 0)
        for key in body.get("remove") or []:
            self.remove(key)
        return 200, {"rev": self.revision}

    def grant_lease(self, ttl_s: float) -> int:
        """Grants a lease and returns its id."""
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = (self._clock() + ttl_s, ttl_s)
        return self._last_lease_id

    def renew_lease(self, lease_id: int) -> bool:
        """Renews a lease; returns whether it still existed."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        self._leases[lease_id] = (self._clock() + lease[1], lease[1])
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and removes its items."""
        self._leases.pop(lease_id, None)
        for row in list(self.rows.values()):
            if row.lease_id == lease_id:
                self.remove(row.key)

    def expire_leases(self) -> None:
        """Revokes the leases whose time to live has passed."""
        now_s = self._clock()
        for lease_id, (expires_s, _) in list(self._leases.items()):
            if expires_s <= now_s:
                self.revoke_lease(lease_id)

    def save_copy(self) -> None:
        """Saves a copy of items and leases to restore later."""
        self._copy = (
            self.revision,
            dict(self.rows),
            dict(self._leases),
            self._last_lease_id,
        )

    def restore(self) -> None:
        """Goes back to the saved copy; what came after it is lost."""
        self.revision, rows, leases, self._last_lease_id = self._copy
        self.rows = dict(rows)
        now_s = self._clock()
        self._leases = {
            name: (now_s + ttl_s, ttl_s) for name, (_, ttl_s) in leases.items()
        }
        self.era += 1
        self.compact()

    def compact(self) -> None:
        """Drops the history."""
        self.history.clear()
        self.compacted_revision = self.revision

    def changes_since(self, prefix: str, after: int) -> list[dict] | None:
        """Returns changes after a revision, None if they are not known."""
        if after < self.compacted_revision and after < self.revision:
            return None
        if after > self.revision:
            return None
        return [
            event
            for event in self.history
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

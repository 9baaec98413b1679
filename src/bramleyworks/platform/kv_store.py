"""Client of the platform's key-value store."""

import base64
import binascii
import contextlib
import urllib.parse
from collections.abc import Mapping
from collections.abc import Sequence

import aiohttp
import msgspec

from bramleyworks import errors
from bramleyworks.adapters import http_session
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_position

# The store responds in 4 ms, and 60 times as slowly while it is degraded.
CALL_TIMEOUT_S = 1.5
# Time for the response of a watch to arrive after the requested wait.
WATCH_MARGIN_S = 0.7
PAGES_MAX = 1000
ERA_HEADER = "Store-Era"


class KvStore:
    """Calls the store; each method makes one attempt without retries.

    Methods raise ``errors.StoreError`` when nothing was written or read, and
    ``errors.StoreUnknownError`` when a write may have taken effect.

    Attributes:
        era: Latest era that a response named, 0 before the first.
    """

    def __init__(self, address: str):
        """Initializes the client without connecting.

        Args:
            address: ``IP:PORT`` of the store.
        """
        self.era = 0
        self._address = address
        self._stack = contextlib.AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Opens the connection pool."""
        self._session = await self._stack.enter_async_context(
            http_session.create(CALL_TIMEOUT_S)
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._stack.aclose()

    async def list_items(
        self, prefix: str
    ) -> tuple[kv_position.Position, list[kv_item.KvItem]]:
        """Reads all items with a prefix.

        Returns:
            The position to watch from, that of the first page, and the items.

        Raises:
            errors.StoreHistoryError: The store was restored between two pages.
        """
        items: list[kv_item.KvItem] = []
        first: kv_position.Position | None = None
        after: str | None = None
        for _ in range(PAGES_MAX):
            query = {"prefix": prefix}
            if after is not None:
                query["after"] = after
            body, era = await self._read("/v1/kv-range", query, CALL_TIMEOUT_S)
            if first is None:
                first = kv_position.Position(era, int(body["as_of"]))
            self._check_era(first.era, era)
            page = [_item(entry, era, self._address) for entry in body["items"]]
            items.extend(page)
            if not body.get("has_more") or not page:
                return first, items
            after = page[-1].key
        raise errors.StoreError("store.list", self._address, "too many pages")

    async def watch(
        self, prefix: str, after: kv_position.Position, wait_s: float
    ) -> tuple[kv_position.Position, list[kv_item.KvItem]]:
        """Waits for changes of keys with a prefix.

        Returns:
            The position from which to continue, and the changes, possibly none.

        Raises:
            errors.StoreHistoryError: The store no longer has the changes, or
                was restored.
        """
        query = {
            "prefix": prefix,
            "after": str(after.revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        body, era = await self._read(
            "/v1/kv-watch", query, wait_s + WATCH_MARGIN_S
        )
        self._check_era(after.era, era)
        changes = [
            _item(e, era, self._address) for e in body.get("events") or ()
        ]
        return kv_position.Position(era, int(body["as_of"])), changes

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int | None,
        lease_id: int = 0,
    ) -> int:
        """Writes one item.

        Args:
            key: Key to write.
            value: Value to write.
            expected_revision: Revision the key must have, 0 if it must not
                exist, None for any.
            lease_id: Lease whose end removes the item, 0 for none.

        Returns:
            The revision of the change.

        Raises:
            errors.StoreConflictError: The key has another revision, or the
                lease has ended.
        """
        conditions = {}
        if expected_revision is not None:
            conditions[key] = expected_revision
        return await self.commit(conditions, {key: value}, lease_id=lease_id)

    async def commit(
        self,
        conditions: Mapping[str, int],
        values: Mapping[str, bytes],
        removed: Sequence[str] = (),
        lease_id: int = 0,
    ) -> int:
        """Writes and removes items if all conditions hold.

        Args:
            conditions: Revision that each of these keys must have, 0 if it must
                not exist.
            values: Values to write by key.
            removed: Keys to remove.
            lease_id: Lease whose end removes the written items, 0 for none.

        Returns:
            The revision of the change.

        Raises:
            errors.StoreConflictError: A condition does not hold, or the lease
                has ended.
        """
        body = await self._write(
            "POST",
            "/v1/kv-txn",
            {
                "if_rev": [
                    {"key": key, "rev": revision}
                    for key, revision in conditions.items()
                ],
                "puts": [
                    {
                        "key": key,
                        "value": base64.b64encode(value).decode(),
                        "lease_id": lease_id,
                    }
                    for key, value in values.items()
                ],
                "remove": list(removed),
            },
        )
        return int(body["rev"])

    async def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its id, which is above 0."""
        body = await self._write(
            "POST", "/v1/kv-lease", {"ttl_ms": int(ttl_s * 1000)}
        )
        lease_id = int(body["lease_id"])
        if lease_id <= 0:
            # An item written with it would have no lease and never expire.
            raise errors.StoreError(
                "store.lease", self._address, f"{lease_id} is no lease"
            )
        return lease_id

    async def renew_lease(self, lease_id: int) -> None:
        """Renews a lease; raises ``StoreConflictError`` if it has ended."""
        await self._write("POST", f"/v1/kv-keep/{lease_id}", None)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease, which removes its items."""
        await self._write("DELETE", f"/v1/kv-lease-end/{lease_id}", None)

    def _check_era(self, expected: int, era: int) -> None:
        if era != expected:
            raise errors.StoreHistoryError(
                "store.era",
                self._address,
                f"the store was restored: era {era} instead of {expected}",
            )

    async def _read(
        self, path: str, query: dict, timeout_s: float
    ) -> tuple[dict, int]:
        """Returns the body of a response and its era."""
        url = f"http://{self._address}{path}?{urllib.parse.urlencode(query)}"
        try:
            status, raw, era = await self._call("GET", url, None, timeout_s)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise errors.StoreError(
                "store.read", self._address, _reason(exc)
            ) from exc
        if status == 410:
            raise errors.StoreHistoryError(
                "store.watch",
                self._address,
                "the store no longer has the changes",
            )
        if status != 200:
            raise errors.StoreError(
                "store.read", self._address, f"status {status}"
            )
        return self._decode(raw), era

    async def _write(self, method: str, path: str, body: dict | None) -> dict:
        url = f"http://{self._address}{path}"
        try:
            status, raw, _ = await self._call(method, url, body, CALL_TIMEOUT_S)
        except aiohttp.ClientConnectorError as exc:
            raise errors.StoreError(
                "store.connect", self._address, _reason(exc)
            ) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise errors.StoreUnknownError(
                "store.write", self._address, _reason(exc)
            ) from exc
        if status in (404, 412):
            raise errors.StoreConflictError(
                "store.write", self._address, f"status {status}"
            )
        if status in (429, 503):
            raise errors.StoreError(
                "store.write", self._address, f"status {status}"
            )
        if status not in (200, 204):
            raise errors.StoreUnknownError(
                "store.write", self._address, f"status {status}"
            )
        return self._decode(raw) if raw else {}

    async def _call(
        self, method: str, url: str, body: dict | None, timeout_s: float
    ) -> tuple[int, bytes, int]:
        headers = {"Content-Type": "application/json"}
        async with self._session.request(
            method,
            url,
            data=msgspec.json.encode(body) if body is not None else None,
            headers=headers if body is not None else None,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as resp:
            raw = await resp.read()
            # A store without eras is always in the same one.
            text = resp.headers.get(ERA_HEADER, "")
            era = int(text) if text.isdecimal() else self.era
            self.era = max(self.era, era)
            return resp.status, raw, era

    def _decode(self, raw: bytes) -> dict:
        try:
            return msgspec.json.decode(raw, type=dict)
        except msgspec.DecodeError as exc:
            raise errors.StoreError(
                "store.decode", self._address, str(exc)
            ) from exc


def _item(entry: dict, era: int, peer: str) -> kv_item.KvItem:
    if entry.get("deleted"):
        return kv_item.KvItem(entry["key"], None, int(entry["rev"]), era)
    try:
        value = base64.b64decode(entry.get("value") or "", validate=True)
    except binascii.Error as exc:
        raise errors.StoreError("store.decode", peer, str(exc)) from exc
    return kv_item.KvItem(entry["key"], value, int(entry["rev"]), era)


def _reason(exc: BaseException) -> str:
    return str(exc) or type(exc).__name__

"""Store content that a VM sends to another one."""

import zlib

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.platform import kv_item

# Fastest level of zlib; it compresses configurations to about a tenth.
COMPRESSION_LEVEL = 1


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of a VM's store replica, or a delta to an older revision.

    Attributes:
        revision: Store revision up to which all changes are included.
        is_full: Whether this is a snapshot: items that it lacks do not exist.
        items: Key, value (None for a removal) and revision of each item.
    """

    revision: int
    is_full: bool
    items: list[tuple[str, bytes | None, int]]


class ReplicaUpdateEncoder:
    """Encodes updates for peers and caches them.

    All VMs of a region request the same long configuration at once, some of
    them over links of 5 Mbit/s, so updates are compressed and encoded once.
    """

    def __init__(self, replica: store_replica_module.StoreReplica):
        """Initializes the encoder.

        Args:
            replica: Replica to send.
        """
        self._replica = replica
        self._revision = 0
        self._encoded: dict[int, bytes] = {}

    def encode(self, after: int) -> bytes:
        """Returns the encoded update for a peer at some revision.

        Args:
            after: Revision of the peer, 0 if it has no data.
        """
        if self._revision != self._replica.revision:
            self._revision = self._replica.revision
            self._encoded.clear()
        if after not in self._encoded:
            self._encoded[after] = self._encode(after)
        return self._encoded[after]

    def _encode(self, after: int) -> bytes:
        changes = self._replica.changes_since(after) if after else None
        found = self._replica.items() if changes is None else changes
        update = ReplicaUpdate(
            self._replica.revision,
            changes is None,
            [(item.key, item.value, item.revision) for item in found],
        )
        return zlib.compress(msgspec.msgpack.encode(update), COMPRESSION_LEVEL)


def apply_update(
    raw: bytes, peer: str, replica: store_replica_module.StoreReplica
) -> result.Result[int | None, errors.MessageError]:
    """Applies a peer's update if it is newer than the replica.

    Args:
        raw: The encoded update.
        peer: Address of its sender.
        replica: Replica to update.

    Returns:
        The number of items received, None if the update is not newer; an error
        if it is malformed.
    """
    try:
        update = msgspec.msgpack.decode(
            zlib.decompress(raw), type=ReplicaUpdate
        )
    except (msgspec.DecodeError, zlib.error) as exc:
        return result.Err(errors.MessageError("copy.decode", peer, str(exc)))
    if update.revision <= replica.revision:
        return result.Ok(None)
    items = [kv_item.KvItem(*item) for item in update.items]
    if update.is_full:
        replica.replace(update.revision, items)
    else:
        replica.apply(update.revision, items)
    return result.Ok(len(items))

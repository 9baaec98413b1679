"""What VMs hand each other of the store."""

import zlib

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.platform import kv_item

# Fastest level of zlib; configurations shrink to about a tenth with it.
COMPRESSION_LEVEL = 1


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A VM's copy of the store, or what has changed in it.

    Attributes:
        revision: Store revision up to which all changes are known.
        is_whole: Whether items that are missing do not exist.
        items: Key, value (None for a removal) and revision of each item.
    """

    revision: int
    is_full: bool
    items: list[tuple[str, bytes | None, int]]


class ReplicaUpdateEncoder:
    """Encodes what peers lack.

    All VMs of a region ask for the same long configuration at once, and links
    of 5 Mbit/s are among theirs: copies are compressed, and made once.
    """

    def __init__(self, replica: store_replica_module.StoreReplica):
        """Takes the copy to hand out."""
        self._replica = replica
        self._revision = 0
        self._encoded: dict[int, bytes] = {}

    def encode(self, after: int) -> bytes:
        """Returns what a peer lacks that knows all up to a revision.

        Args:
            after: That revision, 0 if the peer knows nothing.
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
        copy = ReplicaUpdate(
            self._replica.revision,
            changes is None,
            [(item.key, item.value, item.revision) for item in found],
        )
        return zlib.compress(msgspec.msgpack.encode(copy), COMPRESSION_LEVEL)


def apply_update(
    raw: bytes, peer: str, replica: store_replica_module.StoreReplica
) -> result.Result[int | None, errors.MessageError]:
    """Takes a peer's copy if it knows more.

    Args:
        raw: The encoded copy.
        peer: Address of its sender.
        mirror: Own copy of the store.

    Returns:
        The number of items taken, None if the peer knows no more; an error if
        the copy is malformed.
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

"""Store content that a VM sends to another one."""

import zlib

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_position

# Fastest level of zlib; it compresses configurations to about a tenth.
COMPRESSION_LEVEL = 1
# Bytes of encoded deltas that are kept for one content of the replica. Peers
# ask from few positions; a crowd that asks from each position filled the memory
# with copies of the store.
MAX_DELTA_BYTES = 2 * 1024 * 1024


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of a VM's store replica, or a delta to an older revision.

    Attributes:
        revision: Store revision up to which all changes are included.
        is_full: Whether this is a snapshot: items that it lacks do not exist.
        items: Key, value (None for a removal) and revision of each item, and
            era and revision of a change that the store has lost, else None.
        era: Era of the store that the revisions belong to.
        is_exact: Whether the sender has every change up to the revision; False
            from earlier builds.
    """

    revision: int
    is_full: bool
    items: list[tuple[str, bytes | None, int, tuple[int, int] | None]]
    era: int = 0
    is_exact: bool = False

    @property
    def position(self) -> kv_position.Position:
        """Position in the store up to which all changes are included."""
        return kv_position.Position(self.era, self.revision)


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
        self._encoded_for = (kv_position.Position(), 0, True)
        self._snapshot: bytes | None = None
        # Deltas by their number of changes. Deltas from two positions with as
        # many changes have the same ones.
        self._deltas: dict[int, bytes] = {}
        self._delta_bytes = 0

    def encode(self, after: kv_position.Position) -> bytes:
        """Returns the encoded update for a peer at some position.

        It is a snapshot when the deltas that are kept take too much memory, so
        that the work is bounded as well until the content changes.

        Args:
            after: Position of the peer, revision 0 if it has no data.
        """
        content = (
            self._replica.position,
            self._replica.generation,
            self._replica.is_exact,
        )
        if self._encoded_for != content:
            self._encoded_for = content
            self._snapshot = None
            self._deltas.clear()
            self._delta_bytes = 0
        changes = None
        if after.revision:
            changes = self._replica.changes_since(after)
        if changes is not None:
            delta = self._deltas.get(len(changes))
            if delta is None and self._delta_bytes < MAX_DELTA_BYTES:
                delta = self._encode(changes, is_full=False)
                self._deltas[len(changes)] = delta
                self._delta_bytes += len(delta)
            if delta is not None:
                return delta
        if self._snapshot is None:
            self._snapshot = self._encode(
                self._replica.snapshot(), is_full=True
            )
        return self._snapshot

    def _encode(self, items: list[kv_item.KvItem], is_full: bool) -> bytes:
        position = self._replica.position
        update = ReplicaUpdate(
            position.revision,
            is_full,
            [_encode_item(item) for item in items],
            position.era,
            self._replica.is_exact,
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
        The number of items received, or of lost changes adopted; None if there
        is nothing new; an error if it is malformed.
    """
    try:
        update = msgspec.msgpack.decode(
            zlib.decompress(raw), type=ReplicaUpdate
        )
    except (msgspec.DecodeError, RecursionError, zlib.error) as exc:
        return result.Err(errors.MessageError("copy.decode", peer, str(exc)))
    if update.position <= replica.position and not (
        update.is_full and update.era == replica.position.era
    ):
        return result.Ok(None)
    items = [
        kv_item.KvItem(
            key,
            value,
            revision,
            update.era,
            kv_position.Position(*lost) if lost else None,
        )
        for key, value, revision, lost in update.items
    ]
    if update.position <= replica.position:
        return result.Ok(replica.adopt_lost(items) or None)
    if update.is_full:
        replica.replace(update.position, items)
        replica.is_exact = update.is_exact
    elif update.era == replica.position.era:
        replica.apply(update.position, items)
        replica.is_exact = replica.is_exact and update.is_exact
    else:
        return result.Err(
            errors.MessageError("copy.apply", peer, "a delta to another era")
        )
    return result.Ok(len(items))


def _encode_item(
    item: kv_item.KvItem,
) -> tuple[str, bytes | None, int, tuple[int, int] | None]:
    lost = (item.lost.era, item.lost.revision) if item.lost else None
    return item.key, item.value, item.revision, lost

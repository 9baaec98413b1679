"""What VMs hand each other of the store."""

import zlib

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import mirror as mirror_module
from bramleyworks.platform import kv_item

# Fastest level of zlib; configurations shrink to about a tenth with it.
LEVEL = 1


class Copy(msgspec.Struct, frozen=True, array_like=True):
    """A VM's copy of the store, or what has changed in it.

    Attributes:
        revision: Store revision up to which all changes are known.
        is_whole: Whether items that are missing do not exist.
        items: Key, value (None for a removal) and revision of each item.
    """

    revision: int
    is_whole: bool
    items: list[tuple[str, bytes | None, int]]


class CopySource:
    """Encodes what peers lack.

    All VMs of a region ask for the same long configuration at once, and links
    of 5 Mbit/s are among theirs: copies are compressed, and made once.
    """

    def __init__(self, mirror: mirror_module.Mirror):
        """Takes the copy to hand out."""
        self._mirror = mirror
        self._revision = 0
        self._encoded: dict[int, bytes] = {}

    def encode(self, after: int) -> bytes:
        """Returns what a peer lacks that knows all up to a revision.

        Args:
            after: That revision, 0 if the peer knows nothing.
        """
        if self._revision != self._mirror.revision:
            self._revision = self._mirror.revision
            self._encoded.clear()
        if after not in self._encoded:
            self._encoded[after] = self._encode(after)
        return self._encoded[after]

    def _encode(self, after: int) -> bytes:
        changes = self._mirror.changes_since(after) if after else None
        found = self._mirror.items() if changes is None else changes
        copy = Copy(
            self._mirror.revision,
            changes is None,
            [(item.key, item.value, item.revision) for item in found],
        )
        return zlib.compress(msgspec.msgpack.encode(copy), LEVEL)


def take(
    raw: bytes, peer: str, mirror: mirror_module.Mirror
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
        copy = msgspec.msgpack.decode(zlib.decompress(raw), type=Copy)
    except (msgspec.DecodeError, zlib.error) as exc:
        return result.Err(errors.MessageError("copy.decode", peer, str(exc)))
    if copy.revision <= mirror.revision:
        return result.Ok(None)
    items = [kv_item.KvItem(*item) for item in copy.items]
    if copy.is_whole:
        mirror.replace(copy.revision, items)
    else:
        mirror.apply(copy.revision, items)
    return result.Ok(len(items))

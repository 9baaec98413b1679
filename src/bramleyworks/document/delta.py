"""Computes and applies deltas between stored configurations.

Each changed list is encoded as runs copied from the base version and inserted
items, so that the size of a delta follows the size of the change. A run is
given by the identity of its first item and its length.
"""

import hashlib
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

import msgspec
import result

from bramleyworks import errors
from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import history_entry
from bramleyworks.document import item_identity
from bramleyworks.document import stored_config


class _Copy(msgspec.Struct, frozen=True, tag="copy", array_like=True):
    first: str
    count: int


class _Put(msgspec.Struct, frozen=True, tag="put", array_like=True):
    items: msgspec.Raw


_Ops = tuple[_Copy | _Put, ...]


class _Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    base_version: int
    version: int
    apply_id: str
    author: str
    time_s: float
    schema: int
    history: _Ops | None = None
    lists: dict[str, _Ops] = {}


# Item types by list name, from the document's own annotations.
_LIST_TYPES: dict[str, Any] = {
    field.name: field.type
    for field in msgspec.structs.fields(document.Document)
    if field.name != "schema"
}
_HISTORY_TYPE = tuple[history_entry.HistoryEntry, ...]
_DECODER = msgspec.json.Decoder(_Delta)


def digest(stored: stored_config.StoredConfig) -> str:
    """Returns the SHA-256 of the encoded configuration, hexadecimal."""
    return hashlib.sha256(codec.encode_stored(stored)).hexdigest()


def make(
    old: stored_config.StoredConfig, new: stored_config.StoredConfig
) -> bytes:
    """Returns the operations that turn ``old`` into ``new``.

    Both must come from ``codec.decode_stored``, so that their numbers have the
    types that the codec gives them.
    """
    lists = {}
    for name in _LIST_TYPES:
        ops = _list_ops(getattr(old.doc, name), getattr(new.doc, name))
        if ops is not None:
            lists[name] = ops
    return msgspec.json.encode(
        _Delta(
            base_version=old.version,
            version=new.version,
            apply_id=new.apply_id,
            author=new.author,
            time_s=new.time_s,
            schema=new.doc.schema,
            history=_list_ops(old.history, new.history),
            lists=lists,
        )
    )


def apply(
    base: stored_config.StoredConfig,
    ops: bytes,
    expected_digest: str | None = None,
    peer: str = "-",
) -> result.Result[stored_config.StoredConfig, errors.DocumentError]:
    """Applies operations from ``make`` to their base.

    Args:
        base: The configuration from which the operations were computed.
        ops: The operations.
        expected_digest: If given, the digest that the result must have.
        peer: Sender of the operations, for the error.

    Returns:
        The new configuration, or an error if the operations are malformed or
        were computed from another base version.
    """
    try:
        delta = _DECODER.decode(ops)
        if delta.base_version != base.version:
            raise ValueError(
                f"the operations apply to base version {delta.base_version},"
                f" not {base.version}"
            )
        lists = {
            name: _apply_list(
                getattr(base.doc, name, ()), list_ops, _LIST_TYPES[name]
            )
            for name, list_ops in delta.lists.items()
        }
        history = base.history
        if delta.history is not None:
            history = _apply_list(history, delta.history, _HISTORY_TYPE)
    except KeyError as exc:
        return _error(peer, f"unknown list or item {exc}")
    except (ValueError, RecursionError) as exc:
        return _error(peer, str(exc))
    updated = stored_config.StoredConfig(
        version=delta.version,
        apply_id=delta.apply_id,
        author=delta.author,
        time_s=delta.time_s,
        doc=msgspec.structs.replace(base.doc, schema=delta.schema, **lists),
        history=history,
    )
    if expected_digest is not None and digest(updated) != expected_digest:
        return _error(peer, "the digest of the result is not the expected one")
    return result.Ok(updated)


def _error(peer: str, reason: str) -> result.Err[errors.DocumentError]:
    return result.Err(errors.DocumentError("document.delta", peer, reason))


def _positions(items: Sequence[Any]) -> dict[str, int]:
    return {name: i for i, name in enumerate(item_identity.index(items))}


def _list_ops(old: Sequence[Any], new: Sequence[Any]) -> _Ops | None:
    # Encoded items are compared because 0.0 and -0.0 are equal as numbers.
    before = [msgspec.json.encode(item) for item in old]
    after = [msgspec.json.encode(item) for item in new]
    if before == after:
        return None
    return tuple(_runs(old, before, new, after))


def _runs(old, before, new, after) -> Iterator[_Copy | _Put]:
    positions = _positions(old)
    names = list(positions)
    i = 0
    while i < len(new):
        start = positions.get(item_identity.of(new[i]))
        if start is not None and before[start] == after[i]:
            count = 1
            while (
                i + count < len(new)
                and start + count < len(old)
                and before[start + count] == after[i + count]
            ):
                count += 1
            yield _Copy(names[start], count)
            i += count
            continue
        first = i
        i += 1
        while i < len(new):
            start = positions.get(item_identity.of(new[i]))
            if start is not None and before[start] == after[i]:
                break
            i += 1
        yield _Put(msgspec.Raw(b"[" + b",".join(after[first:i]) + b"]"))


def _apply_list(base: tuple, ops: _Ops, kind: Any) -> tuple:
    positions = _positions(base)
    updated: list[Any] = []
    for op in ops:
        if isinstance(op, _Put):
            updated.extend(msgspec.json.decode(op.items, type=kind))
            continue
        start = positions[op.first]
        if not 0 < op.count <= len(base) - start:
            raise ValueError(
                f"a copied run of {op.count} items exceeds the base list"
            )
        updated.extend(base[start : start + op.count])
    return tuple(updated)

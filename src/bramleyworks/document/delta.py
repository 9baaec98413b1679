"""Operations that turn one stored configuration into another.

A list of the result is described as runs copied from the base and items put
in, so that the cost follows the size of the change. A run names its first item
by identity.
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
        base: The configuration from which the operations were made.
        ops: The operations.
        expected_digest: If given, the digest that the result must have.
        peer: Sender of the operations, for the error.

    Returns:
        The new configuration, or an error if the operations are malformed or
        belong to another base.
    """
    try:
        wanted = _DECODER.decode(ops)
        if wanted.base_version != base.version:
            raise ValueError(
                f"the operations are for base version {wanted.base_version},"
                f" not {base.version}"
            )
        lists = {
            name: _apply_list(
                getattr(base.doc, name, ()), list_ops, _LIST_TYPES[name]
            )
            for name, list_ops in wanted.lists.items()
        }
        history = base.history
        if wanted.history is not None:
            history = _apply_list(history, wanted.history, _HISTORY_TYPE)
    except KeyError as exc:
        return _error(peer, f"unknown list or item {exc}")
    except (ValueError, RecursionError) as exc:
        return _error(peer, str(exc))
    made = stored_config.StoredConfig(
        version=wanted.version,
        apply_id=wanted.apply_id,
        author=wanted.author,
        time_s=wanted.time_s,
        doc=msgspec.structs.replace(base.doc, schema=wanted.schema, **lists),
        history=history,
    )
    if expected_digest is not None and digest(made) != expected_digest:
        return _error(peer, "the result has another digest than expected")
    return result.Ok(made)


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
    made: list[Any] = []
    for op in ops:
        if isinstance(op, _Put):
            made.extend(msgspec.json.decode(op.items, type=kind))
            continue
        start = positions[op.first]
        if not 0 < op.count <= len(base) - start:
            raise ValueError(f"a run of {op.count} items exceeds the base")
        made.extend(base[start : start + op.count])
    return tuple(made)

"""Computes the differences between two documents in readable form."""

from typing import Any

import msgspec

from bramleyworks.document import change
from bramleyworks.document import document
from bramleyworks.document import item_identity


def changes(
    old: document.Document, new: document.Document
) -> tuple[change.Change, ...]:
    """Returns all differences; empty if and only if the documents are equal.

    Items of lists are matched by their identity (name, prefix, id), so that an
    inserted item does not make all later ones show as changed.
    """
    return tuple(_fields(old, new, ""))


def _fields(old: msgspec.Struct, new: msgspec.Struct, prefix: str):
    for field in old.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        path = f"{prefix}{field}"
        if _is_list_of_structs(before) and _is_list_of_structs(after):
            yield from _items(before, after, path)
        else:
            yield change.Change("changed", path, _text(before), _text(after))


def _items(old: tuple, new: tuple, path: str):
    before, after = item_identity.index(old), item_identity.index(new)
    for name, item in before.items():
        if name not in after:
            yield change.Change(
                "removed", f"{path}[{name}]", old=_summary(item)
            )
    for name, item in after.items():
        if name not in before:
            yield change.Change("added", f"{path}[{name}]", new=_summary(item))
        elif item != before[name]:
            yield from _fields(before[name], item, f"{path}[{name}].")
    if [name for name in before if name in after] != [
        name for name in after if name in before
    ]:
        yield change.Change("reordered", path)


def _is_list_of_structs(value: Any) -> bool:
    return isinstance(value, tuple) and all(
        isinstance(item, msgspec.Struct) for item in value
    )


def _summary(item: msgspec.Struct) -> str:
    return ", ".join(
        f"{field}={_text(getattr(item, field))}"
        for field in item.__struct_fields__[1:]
    )


def _text(value: Any) -> str:
    if isinstance(value, tuple):
        return (
            "["
            + ", ".join(
                item_identity.of(item)
                if isinstance(item, msgspec.Struct)
                else _text(item)
                for item in value
            )
            + "]"
        )
    if isinstance(value, float):
        return f"{value:.15g}"
    if isinstance(value, str):
        return value or "''"
    return str(value)

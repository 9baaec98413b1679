"""Identities of the items in the lists of a document."""

import functools
from collections.abc import Iterable
from typing import Any

from bramleyworks.document import client_block
from bramleyworks.document import drain
from bramleyworks.document import history_entry
from bramleyworks.document import key
from bramleyworks.document import link_cap
from bramleyworks.document import move
from bramleyworks.document import organisation
from bramleyworks.document import region
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.document import upstream


@functools.singledispatch
def of(item: Any) -> str:
    """Returns the identity of an item, unique in its list if valid."""
    return str(item)


@of.register
def _(item: region.Region) -> str:
    return item.name


@of.register
def _(item: organisation.Organisation) -> str:
    return item.name


@of.register
def _(item: key.Key) -> str:
    return item.id


@of.register
def _(item: service.Service) -> str:
    return item.name


@of.register
def _(item: route.Route) -> str:
    return item.prefix


@of.register
def _(item: upstream.Upstream) -> str:
    return item.name


@of.register
def _(item: link_cap.LinkCap) -> str:
    return f"{item.source}->{item.target}"


@of.register
def _(item: drain.Drain) -> str:
    return f"{item.kind} {item.target}"


@of.register
def _(item: move.Move) -> str:
    return item.id


@of.register
def _(item: client_block.ClientBlock) -> str:
    return item.cidr


@of.register
def _(item: history_entry.HistoryEntry) -> str:
    return str(item.version)


def index(items: Iterable[Any]) -> dict[str, Any]:
    """Returns the items by identity, in order.

    A draft may repeat an identity; later occurrences get a ``#2``, ``#3``.
    """
    result: dict[str, Any] = {}
    seen: dict[str, int] = {}
    for item in items:
        name = of(item)
        seen[name] = seen.get(name, 0) + 1
        result[name if seen[name] == 1 else f"{name}#{seen[name]}"] = item
    return result

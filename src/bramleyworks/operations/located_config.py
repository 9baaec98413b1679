"""A decoded configuration that keeps every entry and its place."""

import dataclasses
from typing import Generic
from typing import TypeVar

from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import organisation
from bramleyworks.gateway import route
from bramleyworks.gateway import service

Item = TypeVar("Item")


@dataclasses.dataclass(frozen=True, slots=True)
class Located(Generic[Item]):
    """A decoded entry and its place in the file."""

    location: str
    item: Item


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedConfig:
    """The entries of a configuration that can be decoded, in their order.

    Unlike the configuration that VMs use, it also holds the entries that later
    ones replace.

    Attributes:
        organisations: Organisations.
        routes: Routes of all hosts.
        services: Services.
        limits: Limits on callers, None if they cannot be decoded.
        is_complete: Whether all entries can be decoded.
    """

    organisations: tuple[Located[organisation.Organisation], ...]
    routes: tuple[Located[route.Route], ...]
    services: tuple[Located[service.Service], ...]
    limits: Located[limits_module.Limits] | None
    is_complete: bool

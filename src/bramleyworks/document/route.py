"""A route from a path prefix to a service."""

from typing import Literal

import msgspec


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route; the longest matching prefix takes precedence.

    Attributes:
        prefix: Path prefix that starts with a slash.
        service: Name of the service.
        access: ``"key"`` or ``"open"`` (no key needed).
        organisations: Organisations that may use the route; empty for all.
        idempotent_methods: Methods that may be retried.
    """

    prefix: str
    service: str
    access: Literal["key", "open"] = "key"
    organisations: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")

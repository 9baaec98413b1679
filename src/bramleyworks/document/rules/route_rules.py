"""Rules for routes."""

import re

from bramleyworks.document import problem
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules

# Paths that the daemon serves itself; see section 6 of the design page.
RESERVED_PREFIXES = ("/v1/", "/-/")
METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
PREFIX_MAX_CHARS = 200
_PREFIX = re.compile(r"/[A-Za-z0-9._~/-]{0,199}\Z")


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all routes."""
    routes = context.doc.routes
    yield from field_rules.unique(
        (
            # The router matches whole segments and ignores a trailing slash.
            (f"routes[{i}].prefix", item.prefix.rstrip("/") or "/")
            for i, item in enumerate(routes)
        ),
        "the prefix of a route",
    )
    for i, item in enumerate(routes):
        path = f"routes[{i}]"
        yield from _check_prefix(f"{path}.prefix", item.prefix)
        yield from _check_service(f"{path}.service", item.service, context)
        yield from _check_organisations(path, item, context)
        methods = [
            (f"{path}.idempotent_methods[{j}]", method)
            for j, method in enumerate(item.idempotent_methods)
        ]
        yield from field_rules.unique(methods, "a method of a route")
        for method_path, method in methods:
            if method not in METHODS:
                yield problem.Problem(
                    method_path,
                    f"must be one of {', '.join(METHODS)}, is"
                    f" {field_rules.shorten(method)}",
                )


def _check_prefix(path: str, prefix: str) -> field_rules.Problems:
    segments = prefix.split("/")
    if not _PREFIX.match(prefix) or "//" in prefix:
        yield problem.Problem(
            path,
            f"must be 1 to {PREFIX_MAX_CHARS} characters, start with '/' and"
            " hold only letters, digits and . _ ~ - between single slashes,"
            f" is {field_rules.shorten(prefix)}",
        )
    elif "." in segments or ".." in segments:
        yield problem.Problem(path, "must not have '.' or '..' as a segment")
    elif f"{prefix}/".startswith(RESERVED_PREFIXES):
        yield problem.Problem(
            path,
            f"must not be under {' or '.join(RESERVED_PREFIXES)}, which the"
            f" daemon serves itself, is {prefix!r}",
        )


def _check_service(
    path: str, name: str, context: check_context.CheckContext
) -> field_rules.Problems:
    yield from field_rules.known(path, name, context.services, "service")
    service = context.services.get(name)
    if service and not context.upstreams.get((name, service.version)):
        yield problem.Problem(
            path,
            f"service {name!r} must have at least 1 upstream of its version"
            f" {field_rules.shorten(service.version)}, has none",
        )


def _check_organisations(path, item, context) -> field_rules.Problems:
    if item.access == "open" and item.organisations:
        yield problem.Problem(
            f"{path}.organisations",
            "must be empty on a route with access 'open', which needs no key",
        )
    names = [
        (f"{path}.organisations[{j}]", name)
        for j, name in enumerate(item.organisations)
    ]
    yield from field_rules.unique(names, "an organisation of a route")
    for name_path, name in names:
        yield from field_rules.known(
            name_path, name, context.organisations, "organisation"
        )

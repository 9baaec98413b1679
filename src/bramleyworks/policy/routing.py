"""Lookup tables for the routes and keys of a document."""

import hashlib

from bramleyworks.document import document
from bramleyworks.document import organisation
from bramleyworks.document import route
from bramleyworks.document import service


class RoutingTable:
    """Maps paths to routes and keys to organisations.

    Attributes:
        services: Services by name.
        organisations: Organisations by name.
    """

    def __init__(self, doc: document.Document):
        self.services: dict[str, service.Service] = {
            item.name: item for item in doc.services
        }
        self.organisations: dict[str, organisation.Organisation] = {
            item.name: item for item in doc.organisations
        }
        self._routes: dict[str, route.Route] = {
            item.prefix.rstrip("/"): item for item in doc.routes
        }
        self._keys: dict[str, organisation.Organisation] = {
            key.digest: item for item in doc.organisations for key in item.keys
        }

    def route(self, path: str) -> route.Route | None:
        """Returns the route with the longest prefix of whole path segments."""
        prefix = path.rstrip("/")
        while prefix:
            found = self._routes.get(prefix)
            if found is not None:
                return found
            prefix = prefix.rpartition("/")[0]
        return self._routes.get("")

    def organisation(self, key: bytes) -> organisation.Organisation | None:
        """Returns the organisation of a caller's key, or None.

        The lookup compares digests, so its timing reveals nothing about keys.
        """
        return self._keys.get(hashlib.sha256(key).hexdigest())


def is_allowed(item: route.Route, organisation_name: str) -> bool:
    """Returns whether an organisation may use a route."""
    return not item.organisations or organisation_name in item.organisations

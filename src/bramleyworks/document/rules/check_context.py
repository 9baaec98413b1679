"""Context that the validation rules share."""

import collections
import dataclasses
import functools

from bramleyworks.document import document
from bramleyworks.document import move
from bramleyworks.document import organisation
from bramleyworks.document import service
from bramleyworks.document import upstream


@dataclasses.dataclass(frozen=True)
class CheckContext:
    """A document under validation and the lookup tables of the rules.

    Attributes:
        doc: The document.
        now_s: Unix time in seconds.
        previous: The document in force, None if there is none.
    """

    doc: document.Document
    now_s: float
    previous: document.Document | None = None

    @functools.cached_property
    def domains_by_region(self) -> dict[str, tuple[str, ...]]:
        """Failure domains by region."""
        return {item.name: item.failure_domains for item in self.doc.regions}

    @functools.cached_property
    def organisations(self) -> dict[str, organisation.Organisation]:
        """Organisations by name."""
        return {item.name: item for item in self.doc.organisations}

    @functools.cached_property
    def services(self) -> dict[str, service.Service]:
        """Services by name."""
        return {item.name: item for item in self.doc.services}

    @functools.cached_property
    def upstreams(self) -> dict[tuple[str, str], list[upstream.Upstream]]:
        """Upstreams by service and version."""
        by_version = collections.defaultdict(list)
        for item in self.doc.upstreams:
            by_version[item.service, item.version].append(item)
        return dict(by_version)

    @functools.cached_property
    def previous_moves(self) -> dict[str, move.Move]:
        """Moves of the document in force, by id."""
        if self.previous is None:
            return {}
        return {item.id: item for item in self.previous.moves}

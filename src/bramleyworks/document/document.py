"""The document that states the whole intended state."""

import msgspec

from bramleyworks.document import client_block
from bramleyworks.document import drain
from bramleyworks.document import link_cap
from bramleyworks.document import move
from bramleyworks.document import organisation
from bramleyworks.document import region
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.document import upstream


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole intended state of one deployment.

    Attributes:
        schema: Version of this format, 1.
        regions: Regions with their failure domains.
        organisations: Organisations with keys and limits.
        services: Services.
        routes: Routes from path prefixes to services.
        upstreams: Upstreams of all services and versions.
        link_caps: Caps on shifts; a pair of regions without one shifts nothing.
        drains: Parts that get no new work.
        moves: Version moves.
        client_blocks: Client addresses and their nearest sites.
    """

    schema: int = 1
    regions: tuple[region.Region, ...] = ()
    organisations: tuple[organisation.Organisation, ...] = ()
    services: tuple[service.Service, ...] = ()
    routes: tuple[route.Route, ...] = ()
    upstreams: tuple[upstream.Upstream, ...] = ()
    link_caps: tuple[link_cap.LinkCap, ...] = ()
    drains: tuple[drain.Drain, ...] = ()
    moves: tuple[move.Move, ...] = ()
    client_blocks: tuple[client_block.ClientBlock, ...] = ()

"""The configuration document of a deployment."""

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
    """The complete desired state of one deployment.

    Attributes:
        schema: Version of this format, 1.
        regions: Regions with their failure domains.
        organisations: Organisations with keys and limits.
        services: Services.
        routes: Routes from path prefixes to services.
        upstreams: Upstreams of all services and versions.
        link_caps: Caps on traffic shifted between regions; a pair of regions
            without a cap shifts nothing.
        drains: Upstreams, failure domains, regions and VMs that get no new
            requests.
        moves: Version moves.
        client_blocks: Client addresses and their nearest failure domains.
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

"""Guards against requests matched to a wrong route or organisation."""

import hashlib

from bramleyworks.document import document
from bramleyworks.document import key
from bramleyworks.document import organisation
from bramleyworks.document import route
from bramleyworks.policy import routing


def table(*prefixes):
    return routing.RoutingTable(
        document.Document(
            routes=tuple(route.Route(p, "s") for p in prefixes),
            organisations=(
                organisation.Organisation(
                    "one",
                    1.0,
                    1.0,
                    keys=(key.Key("k", hashlib.sha256(b"secret").hexdigest()),),
                ),
            ),
        )
    )


def test_longest_prefix_of_whole_segments_wins():
    routes = table("/stock", "/stock/orders")
    assert routes.route("/stock/orders/7").prefix == "/stock/orders"
    assert routes.route("/stock/ordersx").prefix == "/stock"
    assert routes.route("/stockx") is None
    assert routes.route("/") is None


def test_root_route_matches_all_other_paths():
    assert table("/", "/a").route("/b/c").prefix == "/"


def test_only_the_complete_key_matches_its_organisation():
    routes = table("/")
    assert routes.organisation(b"secret").name == "one"
    assert routes.organisation(b"secre") is None
    assert routes.organisation(b"") is None

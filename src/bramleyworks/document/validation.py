"""Validation of a whole document."""

from bramleyworks.document import document
from bramleyworks.document import problem
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import client_block_rules
from bramleyworks.document.rules import drain_rules
from bramleyworks.document.rules import link_cap_rules
from bramleyworks.document.rules import move_rules
from bramleyworks.document.rules import organisation_rules
from bramleyworks.document.rules import region_rules
from bramleyworks.document.rules import route_rules
from bramleyworks.document.rules import service_rules
from bramleyworks.document.rules import size_rules
from bramleyworks.document.rules import upstream_rules

_RULES = (
    size_rules,
    region_rules,
    organisation_rules,
    service_rules,
    route_rules,
    upstream_rules,
    link_cap_rules,
    drain_rules,
    move_rules,
    client_block_rules,
)


def check(
    doc: document.Document,
    now_s: float,
    previous: document.Document | None = None,
) -> tuple[problem.Problem, ...]:
    """Returns all problems of a document.

    Args:
        doc: The document to check.
        now_s: Unix time in seconds.
        previous: The document in force. Moves that it holds unchanged may
            have ended, and its move ids may not be reused for other moves.

    Returns:
        The problems in the order of the document's fields; none if valid.
    """
    context = check_context.CheckContext(doc, now_s, previous)
    return tuple(item for rules in _RULES for item in rules.check(context))

"""What the pages of the console share."""

import dataclasses

from starlette import requests

from bramleyworks.adapters import store
from bramleyworks.console import draft
from bramleyworks.console import drafts
from bramleyworks.console import request_guard
from bramleyworks.document import document
from bramleyworks.operations import config_writer


@dataclasses.dataclass
class ConsoleState:
    """The state of one console process.

    Attributes:
        store: The store.
        peer: Name of the store in errors.
        daemons: Addresses of daemons to ask for their status.
        author: Suggested name of the operator.
        drafts: Drafts by session.
        applying: Sessions with an apply in progress.
    """

    store: store.Store
    peer: str
    daemons: tuple[str, ...]
    author: str
    drafts: drafts.Drafts
    applying: set[str] = dataclasses.field(default_factory=set)


def for_request(request: requests.Request) -> ConsoleState:
    """Returns the state of the console that serves a request."""
    return request.app.state.console


async def open_draft(request: requests.Request) -> draft.Draft:
    """Returns the session's draft; a new one starts from the store.

    Raises:
        errors.BramleyworksError: The store can not be read.
    """
    state = for_request(request)
    session = request_guard.session_id(request)
    current = state.drafts.get(session)
    if current is None:
        answer = await config_writer.read(state.store, state.peer)
        if answer.is_err():
            raise answer.unwrap_err()
        # Another request of the session may have begun the draft meanwhile.
        current = state.drafts.get(session)
    if current is None:
        stored, _ = answer.unwrap()
        base = stored.doc if stored else document.Document()
        current = draft.Draft(stored.version if stored else 0, base, base)
        state.drafts.put(session, current)
    return current


def save_draft(request: requests.Request, value: draft.Draft) -> None:
    """Sets the session's draft."""
    for_request(request).drafts.put(request_guard.session_id(request), value)

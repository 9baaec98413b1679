"""State that the pages of the console share."""

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
        store: The opened store.
        peer: Name of the store in error messages.
        daemons: Addresses of the daemons whose status is shown.
        author: Default for the operator's name.
        drafts: The drafts of all sessions.
        applying: Ids of the sessions with an apply in progress.
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
    """Returns the session's draft, or creates it from the stored document.

    Raises:
        errors.BramleyworksError: The store cannot be read.
    """
    state = for_request(request)
    session = request_guard.session_id(request)
    current = state.drafts.get(session)
    if current is None:
        read_result = await config_writer.read(state.store, state.peer)
        if read_result.is_err():
            raise read_result.unwrap_err()
        # Another request of the session may have created the draft during
        # the read.
        current = state.drafts.get(session)
    if current is None:
        stored, _ = read_result.unwrap()
        base = stored.doc if stored else document.Document()
        current = draft.Draft(stored.version if stored else 0, base, base)
        state.drafts.put(session, current)
    return current


def save_draft(request: requests.Request, value: draft.Draft) -> None:
    """Sets the session's draft."""
    for_request(request).drafts.put(request_guard.session_id(request), value)

"""Views of the status and the audit trail."""

from starlette import requests
from starlette import responses

from bramleyworks import errors
from bramleyworks.console import console_state
from bramleyworks.console import pages
from bramleyworks.operations import audit_view
from bramleyworks.operations import config_writer
from bramleyworks.operations import fleet_status

ENTRIES_MAX = 300


async def status(request: requests.Request) -> responses.Response:
    """Shows the configuration, the version moves and the daemons."""
    state = console_state.for_request(request)
    fleet = await fleet_status.collect(state.store, state.daemons, state.peer)
    written = request.query_params.get("written", "")
    return pages.render(
        request,
        "status.html",
        found=fleet,
        asked=len(state.daemons),
        written=written if written.isdecimal() else "",
    )


async def audit(request: requests.Request) -> responses.Response:
    """Shows the newest audit entries and configuration changes."""
    state = console_state.for_request(request)
    query = request.query_params.get("q", "").strip()
    read_result = await config_writer.read(state.store, state.peer)
    if read_result.is_err():
        raise read_result.unwrap_err()
    stored, _ = read_result.unwrap()
    failure = None
    try:
        entries = await audit_view.read(state.store, stored)
    except errors.StoreError as exc:
        failure = exc
        entries = audit_view.merge((), stored)
    matches = [entry for entry in reversed(entries) if query in str(entry)]
    return pages.render(
        request,
        "audit.html",
        entries=matches[:ENTRIES_MAX],
        found=len(matches),
        failure=failure,
        wanted=query,
    )

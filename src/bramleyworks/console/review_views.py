"""Views that review and apply the draft."""

import functools
import secrets
import time

from starlette import requests
from starlette import responses

from bramleyworks import errors
from bramleyworks.console import console_state
from bramleyworks.console import draft
from bramleyworks.console import pages
from bramleyworks.console import request_guard
from bramleyworks.document import review_warnings
from bramleyworks.document import validation
from bramleyworks.operations import apply_errors
from bramleyworks.operations import config_writer


async def review(request: requests.Request) -> responses.Response:
    """Shows the draft's changes, violated rules and warnings."""
    current = await console_state.open_draft(request)
    return await _render_review(request, current)


async def apply(request: requests.Request) -> responses.Response:
    """Applies the draft if it is unchanged since the review."""
    form = await request_guard.read_form(request)
    state = console_state.for_request(request)
    session = request_guard.session_id(request)
    current = await console_state.open_draft(request)
    if str(form.get("digest", "")) != current.digest:
        return await _render_review(
            request,
            current,
            notice="The draft changed since this review. Nothing was applied.",
            status=409,
        )
    if session in state.applying:
        return await _render_review(
            request, current, notice="An apply is in progress.", status=409
        )
    apply_id = secrets.token_hex(16)
    state.applying.add(session)
    try:
        applied = await config_writer.apply(
            state.store,
            current.doc,
            current.base_version,
            str(form.get("author", "")).strip(),
            time.time(),
            apply_id,
            peer=state.peer,
        )
    finally:
        state.applying.discard(session)
    if applied.is_err():
        return await _render_error(applied.unwrap_err(), request, current)
    stored = applied.unwrap()
    latest = state.drafts.get(session)
    if latest is None or latest.doc == current.doc:
        state.drafts.remove(session)
    else:
        # Edits made during the apply are kept, rebased on the version that it
        # wrote.
        state.drafts.put(
            session, draft.Draft(stored.version, stored.doc, latest.doc)
        )
    return responses.RedirectResponse(f"/status?written={stored.version}", 303)


@functools.singledispatch
async def _render_error(exc, request, current) -> responses.Response:
    return await _render_review(request, current, error=exc, status=503)


@_render_error.register
async def _(exc: apply_errors.StaleBaseError, request, current):
    return await _render_review(
        request, current, error=exc, entries=exc.entries, status=409
    )


@_render_error.register
async def _(exc: apply_errors.InvalidDocumentError, request, current):
    return await _render_review(
        request, current, error=exc, problems=exc.problems, status=422
    )


@_render_error.register
async def _(exc: apply_errors.OutcomeUnknownError, request, current):
    return await _render_review(
        request, current, error=exc, apply_id=exc.apply_id, status=502
    )


async def _render_review(
    request: requests.Request,
    current: draft.Draft,
    *,
    notice: str = "",
    error: errors.BramleyworksError | None = None,
    problems=None,
    entries=(),
    apply_id: str = "",
    status: int = 200,
) -> responses.Response:
    state = console_state.for_request(request)
    read_result = await config_writer.read(state.store, state.peer)
    in_force = None
    if read_result.is_ok():
        stored, _ = read_result.unwrap()
        in_force = stored.version if stored else 0
        if in_force != current.base_version and stored and not entries:
            entries = tuple(
                entry
                for entry in stored.history
                if entry.version > current.base_version
            )
    if problems is None:
        problems = validation.check(current.doc, time.time(), current.base)
    return pages.render(
        request,
        "review.html",
        status,
        current=current,
        problems=problems,
        warnings=review_warnings.find(current.base, current.doc),
        in_force=in_force,
        entries=entries,
        notice=notice,
        error=error,
        apply_id=apply_id,
        author=state.author,
    )

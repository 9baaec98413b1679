"""The console as an ASGI application."""

import contextlib
import secrets
from collections.abc import Callable

from starlette import applications
from starlette import exceptions
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing
from starlette.middleware import sessions

from bramleyworks import errors
from bramleyworks.adapters import store
from bramleyworks.console import console_state
from bramleyworks.console import draft_views
from bramleyworks.console import drafts
from bramleyworks.console import pages
from bramleyworks.console import request_guard
from bramleyworks.console import review_views
from bramleyworks.console import status_views

SESSION_S = 12 * 3600

StoreFactory = Callable[[], contextlib.AbstractAsyncContextManager[store.Store]]


def build(
    store_factory: StoreFactory,
    peer: str,
    daemons: tuple[str, ...],
    author: str,
) -> applications.Starlette:
    """Builds the application.

    Args:
        store_factory: Opens the store, which is closed when the application
            stops.
        peer: Name of the store in error messages.
        daemons: Addresses of the daemons whose status is shown.
        author: Default for the operator's name.
    """

    @contextlib.asynccontextmanager
    async def lifespan(app):
        async with store_factory() as source:
            app.state.console = console_state.ConsoleState(
                source, peer, daemons, author, drafts.Drafts()
            )
            yield

    return applications.Starlette(
        routes=_routes(),
        lifespan=lifespan,
        middleware=[
            middleware.Middleware(request_guard.HeaderMiddleware),
            middleware.Middleware(
                sessions.SessionMiddleware,
                # Drafts are kept in memory, so sessions need not survive a
                # restart.
                secret_key=secrets.token_urlsafe(32),
                session_cookie="bramleyworks_console",
                max_age=SESSION_S,
                same_site="strict",
            ),
        ],
        exception_handlers={
            exceptions.HTTPException: _handle_http_exception,
            errors.BramleyworksError: _handle_error,
        },
    )


def _routes() -> list[routing.Route]:
    items = "/draft/{section}/{index:int}"
    table = (
        ("GET", "/", _redirect_home),
        ("GET", "/style.css", _stylesheet),
        ("GET", "/draft", draft_views.overview),
        ("GET", "/draft.json", draft_views.export),
        ("POST", "/draft/discard", draft_views.discard),
        ("GET", "/draft/{section}", draft_views.list_items),
        ("GET", "/draft/{section}/new", draft_views.show_item),
        ("POST", "/draft/{section}/new", draft_views.save_item),
        ("GET", items, draft_views.show_item),
        ("POST", items, draft_views.save_item),
        ("POST", f"{items}/delete", draft_views.delete_item),
        ("POST", "/draft/organisations/{index:int}/keys", draft_views.add_key),
        (
            "POST",
            "/draft/organisations/{index:int}/keys/{position:int}/withdraw",
            draft_views.withdraw_key,
        ),
        ("GET", "/review", review_views.review),
        ("POST", "/review", review_views.apply),
        ("GET", "/status", status_views.status),
        ("GET", "/audit", status_views.audit),
    )
    return [
        routing.Route(path, _with_host_check(view), methods=[method])
        for method, path, view in table
    ]


def _with_host_check(view):
    async def checked_view(request: requests.Request) -> responses.Response:
        request_guard.check_host(request)
        return await view(request)

    return checked_view


async def _redirect_home(request: requests.Request) -> responses.Response:
    return responses.RedirectResponse("/status", 303)


async def _stylesheet(request: requests.Request) -> responses.Response:
    return responses.Response(pages.STYLESHEET, media_type="text/css")


async def _handle_http_exception(
    request: requests.Request, exc
) -> responses.Response:
    return pages.render(
        request,
        "message.html",
        exc.status_code,
        title="Refused" if exc.status_code != 404 else "Not found",
        text=exc.detail,
    )


async def _handle_error(request: requests.Request, exc) -> responses.Response:
    return pages.render(
        request,
        "message.html",
        503,
        title="The platform did not answer",
        text=str(exc),
    )

"""Protection of the console against requests from other sites."""

import hmac
import ipaddress
import secrets

from starlette import datastructures
from starlette import exceptions
from starlette import requests
from starlette import types

FORM_MAX_BYTES = 1_000_000
FORM_MAX_FIELDS = 1000
TOKEN_FIELD = "token"

_SECURITY_HEADERS = (
    (b"cache-control", b"no-store"),
    (
        b"content-security-policy",
        b"default-src 'none'; style-src 'self'; form-action 'self';"
        b" frame-ancestors 'none'; base-uri 'none'",
    ),
    (b"x-content-type-options", b"nosniff"),
    # A policy of no-referrer would make browsers send "Origin: null".
    (b"referrer-policy", b"same-origin"),
)


class HeaderMiddleware:
    """Adds the security headers to every response."""

    def __init__(self, app: types.ASGIApp):
        self._app = app

    async def __call__(self, scope, receive, send):
        """Serves one ASGI connection."""

        async def send_with_headers(message):
            if message["type"] == "http.response.start":
                message["headers"] = [
                    *message.get("headers", ()),
                    *_SECURITY_HEADERS,
                ]
            await send(message)

        await self._app(
            scope,
            receive,
            send_with_headers if scope["type"] == "http" else send,
        )


def check_host(request: requests.Request) -> None:
    """Rejects host names other than ``localhost``, against DNS rebinding.

    A site whose own name resolves to the console's address passes the Origin
    check. It cannot do so under an IP address.

    Raises:
        exceptions.HTTPException: The Host header is neither an IP address nor
            ``localhost``.
    """
    host = request.url.hostname or ""
    if host == "localhost":
        return
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise exceptions.HTTPException(
            403, "use the console by its IP number or as localhost"
        ) from None


def token(request: requests.Request) -> str:
    """Returns the session's form token, created with the session."""
    if "token" not in request.session:
        request.session["token"] = secrets.token_urlsafe(32)
        request.session["id"] = secrets.token_urlsafe(32)
    return request.session["token"]


def session_id(request: requests.Request) -> str:
    """Returns the session's id, created with the session."""
    token(request)
    return request.session["id"]


async def read_form(request: requests.Request) -> datastructures.FormData:
    """Reads a form if its origin and size are valid, then checks its token.

    Raises:
        exceptions.HTTPException: A check failed.
    """
    origin = request.headers.get("origin")
    if origin != f"{request.url.scheme}://{request.headers.get('host')}":
        raise exceptions.HTTPException(
            403, "the form was not sent from a page of this console"
        )
    length = request.headers.get("content-length", "")
    if not length.isdecimal() or int(length) > FORM_MAX_BYTES:
        raise exceptions.HTTPException(
            413, f"a form may have at most {FORM_MAX_BYTES} bytes"
        )
    form = await request.form(max_files=0, max_fields=FORM_MAX_FIELDS)
    submitted = str(form.get(TOKEN_FIELD, ""))
    expected = request.session.get("token", "")
    if not expected or not hmac.compare_digest(
        submitted.encode(), expected.encode()
    ):
        raise exceptions.HTTPException(
            403, "the session has ended or the form is from another session"
        )
    return form

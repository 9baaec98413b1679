"""Renders pages from templates."""

import pathlib
from typing import Any

import jinja2
from starlette import requests
from starlette import responses

from bramleyworks.console import draft
from bramleyworks.console import request_guard
from bramleyworks.console import sections
from bramleyworks.document import diff
from bramleyworks.document import utc_time

_TEMPLATES_DIR = pathlib.Path(__file__).parent / "templates"
_ENVIRONMENT = jinja2.Environment(
    loader=jinja2.FileSystemLoader(_TEMPLATES_DIR),
    autoescape=True,
    undefined=jinja2.StrictUndefined,
    trim_blocks=True,
    lstrip_blocks=True,
)
_ENVIRONMENT.filters["time"] = utc_time.format_time
STYLESHEET = (_TEMPLATES_DIR / "style.css").read_text("utf-8")


def render(
    request: requests.Request,
    name: str,
    status: int = 200,
    current: draft.Draft | None = None,
    **values: Any,
) -> responses.HTMLResponse:
    """Renders a template with the values that all pages use.

    Args:
        request: The request to respond to.
        name: File name of the template.
        status: HTTP status.
        current: Draft whose changes are counted below the heading.
        values: Further variables of the template.
    """
    text = _ENVIRONMENT.get_template(name).render(
        token=request_guard.token(request),
        sections=sections.BY_NAME.values(),
        path=request.url.path,
        draft=current,
        changes=diff.changes(current.base, current.doc) if current else (),
        **values,
    )
    return responses.HTMLResponse(text, status)

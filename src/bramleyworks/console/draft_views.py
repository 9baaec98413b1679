"""Views that edit the draft."""

import time
from typing import Any

from starlette import datastructures
from starlette import exceptions
from starlette import requests
from starlette import responses

from bramleyworks.console import console_state
from bramleyworks.console import draft
from bramleyworks.console import item_form
from bramleyworks.console import pages
from bramleyworks.console import request_guard
from bramleyworks.console import section
from bramleyworks.console import sections
from bramleyworks.document import codec
from bramleyworks.document import item_identity
from bramleyworks.document import key
from bramleyworks.document import new_key
from bramleyworks.document import validation

ROWS_MAX = 200


async def overview(request: requests.Request) -> responses.Response:
    """Shows the draft's sections and the rules that it violates."""
    current = await console_state.open_draft(request)
    return pages.render(
        request,
        "overview.html",
        current=current,
        problems=_find_problems(current),
        counts={
            name: len(getattr(current.doc, name)) for name in sections.BY_NAME
        },
    )


async def export(request: requests.Request) -> responses.Response:
    """Sends the draft as a file for ``bramleyworks apply``."""
    current = await console_state.open_draft(request)
    return responses.Response(
        codec.encode(current.doc),
        media_type="application/json",
        headers={"content-disposition": 'attachment; filename="draft.json"'},
    )


async def discard(request: requests.Request) -> responses.Response:
    """Discards the draft."""
    await request_guard.read_form(request)
    console_state.for_request(request).drafts.remove(
        request_guard.session_id(request)
    )
    return responses.RedirectResponse("/draft", 303)


async def list_items(request: requests.Request) -> responses.Response:
    """Shows the items of a section."""
    part = _get_section(request)
    current = await console_state.open_draft(request)
    query = request.query_params.get("q", "").strip()
    items = [
        (i, item_identity.of(item), item_form.format_fields(part, item))
        for i, item in enumerate(getattr(current.doc, part.name))
    ]
    matches = [
        row
        for row in items
        if not query or query in row[1] or query in str(row[2])
    ]
    invalid_items = {
        problem.path.partition(".")[0] for problem in _find_problems(current)
    }
    return pages.render(
        request,
        "section.html",
        current=current,
        part=part,
        rows=matches[:ROWS_MAX],
        found=len(matches),
        total=len(items),
        wanted=query,
        bad={i for i, _, _ in matches if f"{part.name}[{i}]" in invalid_items},
    )


async def show_item(request: requests.Request) -> responses.Response:
    """Shows the form of an item, or an empty form for a new one."""
    part = _get_section(request)
    current = await console_state.open_draft(request)
    index, item = _get_item(request, part, current)
    return _render_form(request, part, current, index, item)


async def save_item(request: requests.Request) -> responses.Response:
    """Saves the form of an item in the draft.

    If a field cannot be parsed, nothing is saved and the form is shown again.
    Values that violate a rule are saved, because another edit may make them
    valid; the rule is shown beside the field, and the draft cannot be applied.
    """
    form = await request_guard.read_form(request)
    part = _get_section(request)
    current = await console_state.open_draft(request)
    index, item = _get_item(request, part, current)
    _check_identity(form, item)
    parsed = item_form.parse(part, form, item)
    if parsed.item is None:
        return _render_form(
            request,
            part,
            current,
            index,
            item,
            parsed,
            notice="Nothing was saved; correct the marked fields.",
            status=422,
        )
    current = current.with_item(part.name, index, parsed.item)
    console_state.save_draft(request, current)
    if _problems_by_field(current, part, index):
        return _render_form(
            request,
            part,
            current,
            index,
            parsed.item,
            notice="Saved in the draft. The marked fields break a rule and"
            " must be corrected before the draft can be applied.",
        )
    location = f"/draft/{part.name}"
    if part.name == "organisations":
        location = f"{location}/{index}"
    return responses.RedirectResponse(location, 303)


async def delete_item(request: requests.Request) -> responses.Response:
    """Removes an item from the draft."""
    form = await request_guard.read_form(request)
    part = _get_section(request)
    current = await console_state.open_draft(request)
    index, item = _get_item(request, part, current)
    _check_identity(form, item)
    if item is not None:
        console_state.save_draft(
            request, current.without_item(part.name, index)
        )
    return responses.RedirectResponse(f"/draft/{part.name}", 303)


async def add_key(request: requests.Request) -> responses.Response:
    """Generates a key for an organisation and shows it only once."""
    form = await request_guard.read_form(request)
    part = sections.BY_NAME["organisations"]
    current = await console_state.open_draft(request)
    index, item = _get_item(request, part, current)
    _check_identity(form, item)
    key_id = str(form.get("key_id", "")).strip()
    generated = new_key.make()
    position = len(item.keys)
    # The draft is changed only if the id is valid, so that submitting the
    # form twice does not add a second key under the same id.
    changed = current.with_keys(
        index, (*item.keys, key.Key(key_id, generated.digest))
    )
    path = f"organisations[{index}].keys[{position}].id"
    for problem in _find_problems(changed):
        if problem.path == path:
            return _render_form(
                request,
                part,
                current,
                index,
                item,
                notice="No key was made.",
                key_error=problem.rule,
                status=422,
            )
    console_state.save_draft(request, changed)
    return pages.render(
        request,
        "new_key.html",
        current=changed,
        organisation=item.name,
        index=index,
        key_id=key_id,
        made=generated,
    )


async def withdraw_key(request: requests.Request) -> responses.Response:
    """Removes a key from an organisation in the draft."""
    form = await request_guard.read_form(request)
    part = sections.BY_NAME["organisations"]
    current = await console_state.open_draft(request)
    index, item = _get_item(request, part, current)
    _check_identity(form, item)
    position = int(request.path_params["position"])
    if (
        position >= len(item.keys)
        or str(form.get("key_id", "")) != item.keys[position].id
    ):
        raise exceptions.HTTPException(
            409, "the draft changed; open the page again"
        )
    keys = item.keys[:position] + item.keys[position + 1 :]
    console_state.save_draft(request, current.with_keys(index, keys))
    return responses.RedirectResponse(f"/draft/organisations/{index}", 303)


def _get_section(request: requests.Request) -> section.Section:
    part = sections.BY_NAME.get(request.path_params["section"])
    if part is None:
        raise exceptions.HTTPException(404, "there is no such section")
    return part


def _get_item(
    request: requests.Request, part: section.Section, current: draft.Draft
) -> tuple[int, Any]:
    """Returns the index and the item named by the path, None for a new one."""
    items = getattr(current.doc, part.name)
    index = request.path_params.get("index")
    if index is None:
        return len(items), None
    if index >= len(items):
        raise exceptions.HTTPException(404, f"there is no such {part.one}")
    return index, items[index]


def _check_identity(form: datastructures.FormData, item: Any) -> None:
    """Rejects a form whose index now belongs to another item.

    Items shift when one is removed, for example in another tab.
    """
    expected = item_identity.of(item) if item is not None else ""
    if str(form.get("identity", "")) != expected:
        raise exceptions.HTTPException(
            409, "the draft changed since this form was opened; open it again"
        )


def _find_problems(current: draft.Draft):
    return validation.check(current.doc, time.time(), current.base)


def _problems_by_field(
    current: draft.Draft, part: section.Section, index: int
) -> dict[str, list[str]]:
    """Returns the violated rules by field; ``""`` holds those of the item."""
    prefix = f"{part.name}[{index}]"
    rules: dict[str, list[str]] = {}
    for problem in _find_problems(current):
        if problem.path == prefix:
            rules.setdefault("", []).append(problem.rule)
        elif problem.path.startswith(f"{prefix}."):
            field = problem.path[len(prefix) + 1 :]
            name = field.partition("[")[0]
            if name == "keys":
                name = field.partition("]")[0] + "]"
            rules.setdefault(name, []).append(problem.rule)
    return rules


def _render_form(
    request,
    part,
    current,
    index,
    item,
    parsed=None,
    *,
    notice="",
    key_error="",
    status=200,
):
    errors = (
        _problems_by_field(current, part, index) if item is not None else {}
    )
    if parsed is not None:
        errors = {name: [text] for name, text in parsed.errors.items()}
    return pages.render(
        request,
        "item.html",
        status,
        current=current,
        part=part,
        index=index,
        item=item,
        identity=item_identity.of(item) if item is not None else "",
        shown=parsed.texts if parsed else item_form.format_fields(part, item),
        errors=errors,
        options={spec.name: spec.options(current.doc) for spec in part.fields},
        notice=notice,
        key_error=key_error,
    )

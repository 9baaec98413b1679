"""Formats and parses the form of an item."""

import dataclasses
import datetime
import math
from typing import Any

import msgspec
from starlette import datastructures

from bramleyworks.console import field_spec
from bramleyworks.console import section


@dataclasses.dataclass(frozen=True)
class ParsedForm:
    """A parsed form.

    Attributes:
        item: The parsed item, None if a field has an error.
        errors: Error messages by field.
        texts: Submitted texts by field, to show the form again.
    """

    item: Any
    errors: dict[str, str]
    texts: dict[str, str | tuple[str, ...]]


def format_fields(part: section.Section, item: Any) -> dict[str, Any]:
    """Returns the texts of the fields; without an item, defaults or blanks."""
    defaults = {
        field.name: field.default
        for field in msgspec.structs.fields(part.kind)
        if field.default is not msgspec.NODEFAULT
    }
    return {
        spec.name: _format_value(
            spec,
            getattr(item, spec.name) if item else defaults.get(spec.name),
        )
        for spec in part.fields
    }


def parse(
    part: section.Section, form: datastructures.FormData, item: Any
) -> ParsedForm:
    """Parses a form into a new item.

    The new item keeps the values of ``item``, if given, in all fields that
    the form does not contain.
    """
    original = format_fields(part, item)
    submitted: dict[str, Any] = {}
    values = (
        {name: getattr(item, name) for name in item.__struct_fields__}
        if item
        else {}
    )
    errors = {}
    for spec in part.fields:
        texts = [str(text) for text in form.getlist(spec.name)]
        text = texts[0].strip() if texts else ""
        submitted[spec.name] = tuple(texts) if spec.kind == "checks" else text
        # The form may show a rounded number or time, so an unedited field
        # keeps the value of the item.
        if item is not None and submitted[spec.name] == original[spec.name]:
            continue
        try:
            values[spec.name] = _parse_value(spec, text, texts)
        except ValueError as exc:
            errors[spec.name] = str(exc)
    if not errors:
        try:
            parsed_item = msgspec.convert(values, part.kind)
        except msgspec.ValidationError as exc:
            errors[part.fields[0].name] = str(exc)
        else:
            return ParsedForm(parsed_item, {}, submitted)
    return ParsedForm(None, errors, submitted)


def _format_value(spec: field_spec.FieldSpec, value: Any) -> Any:
    if spec.kind == "checks":
        return tuple(value or ())
    if value is None:
        return ""
    if spec.kind == "lines":
        return "\n".join(value)
    if spec.kind == "time":
        return _format_time(value)
    if spec.kind == "number":
        return f"{value:.15g}"
    return str(value)


def _format_time(time_s: float) -> str:
    try:
        moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(time_s)
    return moment.replace(tzinfo=None).isoformat(timespec="seconds")


def _parse_value(
    spec: field_spec.FieldSpec, text: str, texts: list[str]
) -> Any:
    if spec.kind == "checks":
        return tuple(texts)
    if spec.kind == "lines":
        return tuple(line.strip() for line in text.split("\n") if line.strip())
    if spec.kind == "text" or spec.kind == "choice":
        if not text:
            raise ValueError("must not be empty")
        return text
    if spec.kind == "time":
        try:
            moment = datetime.datetime.fromisoformat(text)
            if moment.tzinfo is None:
                moment = moment.replace(tzinfo=datetime.UTC)
            return moment.timestamp()
        except (ValueError, OverflowError):
            raise ValueError(
                "must be a UTC time such as 2027-01-15T08:00:00"
            ) from None
    try:
        value = int(text) if spec.kind == "integer" else float(text)
    except ValueError:
        kind = "a whole number" if spec.kind == "integer" else "a number"
        raise ValueError(f"must be {kind}, {spec.hint}") from None
    if not math.isfinite(value) or abs(value) > 1e15:
        raise ValueError(f"must be a finite number, {spec.hint}")
    return value

"""Showing and reading the form of one item."""

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
    """A form as read.

    Attributes:
        item: The item, None if a field has an error.
        errors: Errors by field.
        shown: Texts to show again, by field.
    """

    item: Any
    errors: dict[str, str]
    texts: dict[str, str | tuple[str, ...]]


def format_fields(part: section.Section, item: Any) -> dict[str, Any]:
    """Returns the texts of the fields; defaults or blanks without an item."""
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
    """Reads a form over an item; fields not in the form keep their value."""
    before = format_fields(part, item)
    shown: dict[str, Any] = {}
    values = (
        {name: getattr(item, name) for name in item.__struct_fields__}
        if item
        else {}
    )
    errors = {}
    for spec in part.fields:
        texts = [str(text) for text in form.getlist(spec.name)]
        text = texts[0].strip() if texts else ""
        shown[spec.name] = tuple(texts) if spec.kind == "checks" else text
        # A shown number or time may be rounded; an unedited one is kept.
        if item is not None and shown[spec.name] == before[spec.name]:
            continue
        try:
            values[spec.name] = _parse_value(spec, text, texts)
        except ValueError as exc:
            errors[spec.name] = str(exc)
    if not errors:
        try:
            made = msgspec.convert(values, part.kind)
        except msgspec.ValidationError as exc:
            errors[part.fields[0].name] = str(exc)
        else:
            return ParsedForm(made, {}, shown)
    return ParsedForm(None, errors, shown)


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
        when = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(time_s)
    return when.replace(tzinfo=None).isoformat(timespec="seconds")


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
            when = datetime.datetime.fromisoformat(text)
            if when.tzinfo is None:
                when = when.replace(tzinfo=datetime.UTC)
            return when.timestamp()
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

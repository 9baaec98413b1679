"""Decodes JSON that anybody may have written to the store."""

import re
from typing import Any

import msgspec

# Errors of code that reads fields of values whose shape is not checked.
FIELD_ERRORS = (
    msgspec.DecodeError,
    KeyError,
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
)
# Names that are written to heads of requests.
_NAME = re.compile(r"[!-~]{1,200}")
MAX_TEXT_CHARS = 200


def decode(raw: bytes, value_type: Any = Any) -> Any:
    """Decodes a JSON text.

    Args:
        raw: JSON text.
        value_type: Type of the value.

    Raises:
        msgspec.DecodeError: It is no JSON, is nested too deeply, or has
            another type.
    """
    try:
        return msgspec.json.decode(raw, type=value_type)
    except RecursionError as exc:
        raise msgspec.DecodeError("the value is nested too deeply") from exc


def check_name(name: str) -> str:
    """Returns a name that consists of printable ASCII characters.

    Raises:
        ValueError: It does not.
    """
    if not isinstance(name, str) or _NAME.fullmatch(name) is None:
        raise ValueError("a name has other characters than printable ASCII")
    return name


def check_text(value: str) -> str:
    """Returns a text that is not empty, printable and short.

    Raises:
        ValueError: It is not.
    """
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= MAX_TEXT_CHARS
        or not value.isprintable()
    ):
        raise ValueError(f"{value!r:.40} is no short printable text")
    return value


def check_number(value: float, least: float, most: float) -> float:
    """Returns a number that lies within bounds.

    Args:
        value: The value as decoded.
        least: Lower bound.
        most: Upper bound.

    Raises:
        ValueError: It is no number, or out of bounds.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r:.40} is no number")
    if not least <= value <= most:
        raise ValueError(f"{value!r:.40} is not within {least} to {most}")
    return value

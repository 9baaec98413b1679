"""Reads settings from INI files and reports all errors at once."""

import configparser
import dataclasses
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import result

from bramleyworks import errors

REQUIRED = object()

Problems = tuple[errors.SettingsError, ...]


@dataclasses.dataclass(frozen=True)
class Field:
    """One setting.

    Attributes:
        section: Its section in the file.
        key: Its key there.
        name: Name of the parsed value.
        parse: Parses its text; raises ValueError if it is invalid.
        default: Value of a missing or empty setting.
    """

    section: str
    key: str
    name: str
    parse: Callable[[str], Any]
    default: Any = REQUIRED


def parse(
    text: str, source: str, fields: Sequence[Field]
) -> result.Result[dict[str, Any], Problems]:
    """Parses and checks settings.

    Args:
        text: Content of the file.
        source: Name of the file, for errors.
        fields: All settings that the file may have.

    Returns:
        Values by name, or all errors, each with section and key.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        reason = " ".join(str(exc).split())
        return result.Err(
            (errors.SettingsError("settings.parse", source, reason),)
        )
    problems = _unknown(parser, source, fields)
    values = {}
    for field in fields:
        raw = parser.get(field.section, field.key, fallback="").strip()
        if not raw and field.default is not REQUIRED:
            values[field.name] = field.default
            continue
        try:
            if not raw:
                raise ValueError("is required")
            values[field.name] = field.parse(raw)
        except ValueError as exc:
            problems.append(_error(source, field.section, field.key, str(exc)))
    if problems:
        return result.Err(tuple(problems))
    return result.Ok(values)


def _unknown(
    parser: configparser.ConfigParser, source: str, fields: Sequence[Field]
) -> list[errors.SettingsError]:
    known = {(field.section, field.key) for field in fields}
    sections = {section for section, _ in known}
    problems = []
    for key in parser.defaults():
        problems.append(_error(source, "DEFAULT", key, "is not a setting"))
    for section in parser.sections():
        if section not in sections:
            problems.append(_error(source, section, "*", "unknown section"))
            continue
        for key in parser.options(section):
            if (section, key) not in known and key not in parser.defaults():
                problems.append(
                    _error(source, section, key, "is not a setting")
                )
    return problems


def _error(
    source: str, section: str, key: str, reason: str
) -> errors.SettingsError:
    return errors.SettingsError(
        "settings.check", source, f"[{section}] {key}: {reason}"
    )

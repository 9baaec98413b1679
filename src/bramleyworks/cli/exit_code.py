"""Exit codes of the command-line tool."""

import enum
import functools

from bramleyworks import errors
from bramleyworks.operations import apply_errors


class ExitCode(enum.IntEnum):
    """Exit codes; ``docs/operating.md`` lists them for operators."""

    OK = 0
    INVALID = 1
    USAGE = 2
    STALE_BASE = 3
    STORE = 4
    UNKNOWN = 5
    PENDING = 6
    DAEMON = 7
    INTERRUPTED = 130


@functools.singledispatch
def for_error(exc: Exception) -> ExitCode:
    """Returns the exit code for an error."""
    return ExitCode.INVALID


@for_error.register
def _(exc: errors.SettingsError) -> ExitCode:
    return ExitCode.USAGE


@for_error.register
def _(exc: errors.StoreError) -> ExitCode:
    return ExitCode.STORE


@for_error.register
def _(exc: errors.PlatformError) -> ExitCode:
    return ExitCode.DAEMON


@for_error.register
def _(exc: apply_errors.StaleBaseError) -> ExitCode:
    return ExitCode.STALE_BASE


@for_error.register
def _(exc: apply_errors.NotWrittenError) -> ExitCode:
    return ExitCode.STORE


@for_error.register
def _(exc: apply_errors.OutcomeUnknownError) -> ExitCode:
    return ExitCode.UNKNOWN

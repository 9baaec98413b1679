"""Exit codes of the operators' tool."""

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
def of(exc: Exception) -> ExitCode:
    """Returns the exit code for an error."""
    return ExitCode.INVALID


@of.register
def _(exc: errors.SettingsError) -> ExitCode:
    return ExitCode.USAGE


@of.register
def _(exc: errors.StoreError) -> ExitCode:
    return ExitCode.STORE


@of.register
def _(exc: errors.PlatformError) -> ExitCode:
    return ExitCode.DAEMON


@of.register
def _(exc: apply_errors.StaleBaseError) -> ExitCode:
    return ExitCode.STALE_BASE


@of.register
def _(exc: apply_errors.NotWrittenError) -> ExitCode:
    return ExitCode.STORE


@of.register
def _(exc: apply_errors.OutcomeUnknownError) -> ExitCode:
    return ExitCode.UNKNOWN

"""Errors of applying a document."""

from bramleyworks import errors
from bramleyworks.document import history_entry
from bramleyworks.document import problem


class ApplyError(errors.BramleyworksError):
    """A document was not applied, or may not have been."""


class StaleBaseError(ApplyError):
    """The document is based on another version than the one in force.

    Attributes:
        current_version: Version in force.
        entries: Changes since the base version, as far as the history goes
            back, newest first.
    """

    def __init__(
        self,
        peer: str,
        base_version: int,
        current_version: int,
        entries: tuple[history_entry.HistoryEntry, ...],
    ):
        super().__init__(
            "config.base_version",
            peer,
            f"base version {base_version} is not in force, version"
            f" {current_version} is; nothing was written",
        )
        self.current_version = current_version
        self.entries = entries


class InvalidDocumentError(ApplyError):
    """The document violates validation rules.

    Attributes:
        problems: All violated rules.
    """

    def __init__(self, peer: str, problems: tuple[problem.Problem, ...]):
        super().__init__(
            "config.validate",
            peer,
            f"the document breaks {len(problems)} rule(s); nothing was written",
        )
        self.problems = problems


class NotWrittenError(ApplyError):
    """The store failed before the write; nothing was written."""


class OutcomeUnknownError(ApplyError):
    """The write may have taken effect.

    Attributes:
        apply_id: Id by which a later read recognises the write.
    """

    def __init__(self, peer: str, reason: str, apply_id: str):
        super().__init__("config.write", peer, reason)
        self.apply_id = apply_id

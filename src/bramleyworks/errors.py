"""The exceptions of the project."""


class BramleyworksError(Exception):
    """Base class of all errors raised by the project.

    Attributes:
        step: The step that failed, for example ``"store.read"``.
        peer: The address or name of the remote side, ``"-"`` if there is none.
        reason: What went wrong, in one sentence without secrets.
    """

    def __init__(self, step: str, peer: str, reason: str):
        super().__init__(f"{step}: {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class SettingsError(BramleyworksError):
    """The settings file has unknown, missing or invalid values."""


class DocumentError(BramleyworksError):
    """A document can not be decoded or breaks a rule."""


class MessageError(BramleyworksError):
    """A message from another daemon is malformed."""


class StoreError(BramleyworksError):
    """The store is unreachable or refused a call."""


class StoreConflictError(StoreError):
    """A compare-and-swap did not find the expected revision."""


class StoreUnknownError(StoreError):
    """A write may or may not have taken effect; read back to find out."""


class StoreHistoryError(StoreError):
    """A watch can not continue because the store dropped its history."""


class UpstreamError(BramleyworksError):
    """An exchange with an upstream failed.

    Attributes:
        not_run: Whether it is certain that the request did not run.
    """

    def __init__(self, step: str, peer: str, reason: str, not_run: bool):
        super().__init__(step, peer, reason)
        self.not_run = not_run


class TicketError(BramleyworksError):
    """No ticket can be issued now."""


class PlatformError(BramleyworksError):
    """A platform endpoint other than the store failed."""

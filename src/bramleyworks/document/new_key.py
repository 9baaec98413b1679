"""Generates API keys for organisations."""

import dataclasses
import hashlib
import secrets

KEY_BYTES = 32


@dataclasses.dataclass(frozen=True)
class NewKey:
    """A new key, which is shown once, and its digest for the document.

    Attributes:
        key: The key; never stored or logged.
        digest: SHA-256 of the key in lower-case hexadecimal.
    """

    key: str = dataclasses.field(repr=False)
    digest: str


def make() -> NewKey:
    """Returns a random key of ``KEY_BYTES`` bytes in URL-safe base64."""
    key = secrets.token_urlsafe(KEY_BYTES)
    return NewKey(key, digest(key))


def digest(key: str) -> str:
    """Returns the digest that the document stores for a key."""
    return hashlib.sha256(key.encode()).hexdigest()

"""Reads documents from files."""

import pathlib

from bramleyworks import errors
from bramleyworks.document import codec
from bramleyworks.document import document


def load(path: str) -> document.Document:
    """Reads and decodes the document in a file.

    Raises:
        errors.DocumentError: The file cannot be read or decoded.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise errors.DocumentError(
            "document.read", path, exc.strerror or str(exc)
        ) from exc
    decoded = codec.decode(data, path)
    if decoded.is_err():
        raise decoded.unwrap_err()
    return decoded.unwrap()

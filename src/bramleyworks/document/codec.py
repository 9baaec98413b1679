"""JSON encoding of documents."""

import msgspec
import result

from bramleyworks import errors
from bramleyworks.document import document
from bramleyworks.document import stored_config

_DOCUMENT_DECODER = msgspec.json.Decoder(document.Document)
_STORED_DECODER = msgspec.json.Decoder(stored_config.StoredConfig)


def encode(doc: document.Document) -> bytes:
    """Returns the document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(doc), indent=2)


def decode(
    data: bytes, peer: str = "-"
) -> result.Result[document.Document, errors.DocumentError]:
    """Decodes a document; an unknown or ill-typed field is an error."""
    try:
        return result.Ok(_DOCUMENT_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return result.Err(
            errors.DocumentError("document.decode", peer, str(exc))
        )


def encode_stored(stored: stored_config.StoredConfig) -> bytes:
    """Returns the value to write to the store."""
    return msgspec.json.encode(stored)


def decode_stored(
    data: bytes, peer: str = "-"
) -> result.Result[stored_config.StoredConfig, errors.DocumentError]:
    """Decodes the value of the store key ``config``."""
    try:
        return result.Ok(_STORED_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return result.Err(
            errors.DocumentError("document.decode_stored", peer, str(exc))
        )

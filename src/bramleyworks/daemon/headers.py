"""Filters headers of requests to upstreams and of responses to callers."""

import multidict

from bramleyworks import http_fields

KEY_HEADERS = frozenset((b"authorization", b"x-api-key"))
# Headers that only the daemon may set.
RESERVED_HEADERS = frozenset(
    (
        b"x-organisation",
        b"x-request-id",
        b"x-deadline-ms",
        b"x-forwarded-by",
        b"x-outcome",
    )
)
_NOT_FORWARDED = (
    http_fields.HOP_BY_HOP
    | KEY_HEADERS
    | RESERVED_HEADERS
    | {b"host", b"expect"}
)

RawHeaders = list[tuple[bytes, bytes]]


def presented_keys(raw: RawHeaders) -> list[bytes]:
    """Returns all API keys in the headers; at most one is valid."""
    keys = []
    for name, value in raw:
        if name == b"x-api-key":
            keys.append(value.strip())
        elif name == b"authorization":
            scheme, _, token = value.partition(b" ")
            if scheme.lower() == b"bearer":
                keys.append(token.strip())
    return keys


def size_bytes(raw: RawHeaders) -> int:
    """Returns the total size of all names and values in bytes."""
    return sum(len(name) + len(value) for name, value in raw)


def first_value(raw: RawHeaders, wanted: bytes) -> bytes | None:
    """Returns the first value of a header, None if it is absent."""
    for name, value in raw:
        if name == wanted:
            return value
    return None


def to_upstream(
    raw: RawHeaders, key: bytes | None
) -> multidict.CIMultiDict[str]:
    """Returns the end-to-end headers of a request without the API key.

    Args:
        raw: Headers as received, names in lower case.
        key: The caller's key; any other header that contains it is dropped
            too.
    """
    dropped = _NOT_FORWARDED | _connection_options(raw)
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in raw:
        if name in dropped or (key and key in value):
            continue
        headers.add(name.decode("latin-1"), value.decode("latin-1"))
    return headers


def to_caller(raw: tuple[tuple[bytes, bytes], ...]) -> RawHeaders:
    """Returns the end-to-end headers of an upstream's response."""
    lowercase = [(name.lower(), value) for name, value in raw]
    dropped = (
        http_fields.HOP_BY_HOP
        | RESERVED_HEADERS
        | _connection_options(lowercase)
    )
    return [item for item in lowercase if item[0] not in dropped]


def _connection_options(raw: RawHeaders) -> frozenset[bytes]:
    for name, _ in raw:
        if name == b"connection":
            break
    else:
        return frozenset()
    return frozenset(
        part.strip().lower()
        for name, value in raw
        if name == b"connection"
        for part in value.split(b",")
    ) - {b"content-length", b"content-type"}

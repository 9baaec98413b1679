"""Deterministic document bodies that a reader can check while streaming."""

import hashlib
from collections.abc import Iterator

CHUNK_BYTES = 64 * 1024
_DIGEST_BYTES = 32


def chunks(name: str, size: int) -> Iterator[bytes]:
    """Yields ``size`` bytes that depend only on the name, in chunks."""
    digest = hashlib.sha256(name.encode()).digest()
    block = digest * (CHUNK_BYTES // _DIGEST_BYTES)
    while size > 0:
        yield block[:size]
        size -= CHUNK_BYTES

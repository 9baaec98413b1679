"""Keys and values of the store that belong to duties."""

import dataclasses

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import store_keys
from bramleyworks.platform import wire_json

_RECORD_INFIX = "/window/"
# Larger counts are impossible in one window.
MAX_COUNT = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The VM that holds a duty.

    Attributes:
        vm: Its name.
        incarnation: Its run.
        control: Its address for other VMs, ``IP:PORT``.
    """

    vm: str
    incarnation: int
    control: str


def holder_key(duty: str) -> str:
    """Returns the key of a duty's holder."""
    return store_keys.DUTIES + duty


def record_key(duty: str, window: int) -> str:
    """Returns the key of the recorded content of a window."""
    return f"{record_prefix(duty)}{window}"


def record_prefix(duty: str) -> str:
    """Returns the prefix of the keys of recorded windows."""
    return store_keys.DUTIES + duty + _RECORD_INFIX


def window_of_key(duty: str, key: str) -> int | None:
    """Returns the window of a record's key, None if it is none."""
    prefix = record_prefix(duty)
    number = key.removeprefix(prefix)
    if not key.startswith(prefix) or not number.isascii():
        return None
    return int(number) if number.isdecimal() and len(number) < 16 else None


def encode_holder(holder: Holder) -> bytes:
    """Encodes a holder."""
    return msgspec.json.encode(holder)


def decode_holder(
    raw: bytes,
) -> result.Result[Holder, errors.DocumentError]:
    """Decodes a holder."""
    try:
        holder = wire_json.decode(raw, Holder)
        wire_json.check_text(holder.vm)
        vm_module.split_address(holder.control)
        return result.Ok(holder)
    except wire_json.FIELD_ERRORS as exc:
        return result.Err(
            errors.DocumentError("duty.decode", "store", repr(exc))
        )


def encode_counts(counts: dict[str, int]) -> bytes:
    """Encodes the content of a window."""
    return msgspec.json.encode(counts)


def decode_counts(
    raw: bytes,
) -> result.Result[dict[str, int], errors.DocumentError]:
    """Decodes the content of a window."""
    try:
        counts = wire_json.decode(raw, dict[str, int])
        for name, count in counts.items():
            wire_json.check_text(name)
            wire_json.check_number(count, 0, MAX_COUNT)
        return result.Ok(counts)
    except wire_json.FIELD_ERRORS as exc:
        return result.Err(
            errors.DocumentError("usage.decode", "store", repr(exc))
        )

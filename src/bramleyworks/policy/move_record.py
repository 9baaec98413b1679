"""The recorded state of a version move."""

import dataclasses
from typing import Literal

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRecord:
    """State of a move in the store value ``moves``.

    Attributes:
        token: Fencing token of the driver that wrote the record.
        step: Index into ``move_schedule.SHARES_PPM``.
        share_ppm: Share of the new version in parts per million.
        verdict: ``"running"`` until the move is done or undone.
        reason: Reason for the verdict.
        time_s: Unix time of the last change of step or verdict in seconds.
    """

    token: int
    step: int
    share_ppm: int
    verdict: Literal["running", "done", "undone"]
    reason: str
    time_s: float


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(dict[str, MoveRecord])


def encode_all(records: dict[str, MoveRecord]) -> bytes:
    """Returns the store value ``moves``."""
    return _ENCODER.encode(records)


def decode_all(data: bytes) -> dict[str, MoveRecord] | None:
    """Decodes the store value ``moves``; None if it is malformed."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None

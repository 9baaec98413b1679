"""The ledger of units and upstreams, as the store holds it."""

import msgspec
import result

from bramleyworks import errors
from bramleyworks.policy import ledger_entry

LEDGER_KEY = "ledger"
TOTAL_UNITS = 5040


class Ledger(msgspec.Struct, frozen=True):
    """The value of the store key ``ledger``.

    Attributes:
        epoch: Grows by one with each write.
        total_units: Sum of all members' units and the free ones.
        free_units: Units that no member holds.
        members: Entries by name of the VM.
        removal_epoch: Epoch of the newest removal or takeover of an entry.
            A VM that missed epochs learns from it that units became free
            whose former holder may not know yet.
    """

    epoch: int = 0
    total_units: int = TOTAL_UNITS
    free_units: int = TOTAL_UNITS
    members: dict[str, ledger_entry.LedgerEntry] = {}
    removal_epoch: int = 0


_DECODER = msgspec.json.Decoder(Ledger)


def encode(value: Ledger) -> bytes:
    """Returns the value to write to the store."""
    return msgspec.json.encode(value)


def decode(
    data: bytes, peer: str = "-"
) -> result.Result[Ledger, errors.StoreError]:
    """Decodes the stored value; units that do not add up are an error."""
    try:
        value = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return result.Err(errors.StoreError("ledger.decode", peer, str(exc)))
    held = [entry.units for entry in value.members.values()]
    if (
        min(held, default=0) < 0
        or value.free_units < 0
        or sum(held) + value.free_units != value.total_units
    ):
        return result.Err(
            errors.StoreError("ledger.decode", peer, "units do not add up")
        )
    return result.Ok(value)

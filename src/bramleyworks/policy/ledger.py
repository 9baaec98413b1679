"""The ledger: the assignment of limit units and upstreams to VMs."""

import msgspec
import result

from bramleyworks import errors
from bramleyworks.policy import ledger_entry

LEDGER_KEY = "ledger"
TOTAL_UNITS = 5040


class Ledger(msgspec.Struct, frozen=True):
    """The value of the store key ``ledger``.

    Each VM uses the fraction ``units / total_units`` of every limit.

    Attributes:
        epoch: Incremented by each write.
        total_units: Sum of the units of all members and the free units.
        free_units: Units that are not assigned to a member.
        members: Entries by VM id.
        removal_epoch: Epoch of the latest removal or takeover of an entry.
            It tells a VM that skipped epochs that units became free whose
            former holder may not know yet.
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
    """Decodes the stored value.

    Args:
        data: JSON value of the store key.
        peer: Source of the value, for the error.

    Returns:
        The ledger, or an error if it is malformed or its units do not add up.
    """
    try:
        value = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return result.Err(errors.StoreError("ledger.decode", peer, str(exc)))
    units = [entry.units for entry in value.members.values()]
    if (
        min(units, default=0) < 0
        or value.free_units < 0
        or sum(units) + value.free_units != value.total_units
    ):
        return result.Err(
            errors.StoreError("ledger.decode", peer, "units do not add up")
        )
    return result.Ok(value)

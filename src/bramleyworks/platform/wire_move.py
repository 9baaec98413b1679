"""Decodes and encodes version moves: operators' orders and recorded states."""

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import move_order
from bramleyworks.gateway import move_state
from bramleyworks.platform import wire_json

# A move that is to take longer is a mistake.
MAX_DURATION_S = 30 * 86_400


def decode_order(
    raw: bytes,
) -> result.Result[move_order.MoveOrder, errors.DocumentError]:
    """Decodes an operator's order."""
    try:
        body = wire_json.decode(raw)
        return result.Ok(
            move_order.MoveOrder(
                service=wire_json.check_text(body["service"]),
                to_version=wire_json.check_text(body["to_version"]),
                duration_s=float(
                    wire_json.check_number(body["over_s"], 0, MAX_DURATION_S)
                ),
            )
        )
    except wire_json.FIELD_ERRORS as exc:
        return result.Err(
            errors.DocumentError("rollout.decode", "store", repr(exc))
        )


def decode_state(
    raw: bytes,
) -> result.Result[move_state.MoveState, errors.DocumentError]:
    """Decodes the recorded state of a move."""
    try:
        body = wire_json.decode(raw)
        return result.Ok(
            move_state.MoveState(
                to_version=wire_json.check_text(body["to_version"]),
                phase=move_state.MovePhase(body["state"]),
            )
        )
    except wire_json.FIELD_ERRORS as exc:
        return result.Err(
            errors.DocumentError("rollout_state.decode", "store", repr(exc))
        )


def compare_states(known: bytes, raw: bytes) -> int | None:
    """Compares the ages of two states of one service.

    Args:
        known: The known state.
        raw: Another state.

    Returns:
        -1 if the other one is older, 1 if it is newer, None if they do not
        tell.
    """
    known_state, state = decode_state(known), decode_state(raw)
    if known_state.is_err() or state.is_err():
        return None
    one, other = known_state.unwrap(), state.unwrap()
    if one.to_version != other.to_version or one.phase is other.phase:
        return None
    if other.phase is move_state.MovePhase.RUNNING:
        return -1
    return 1 if one.phase is move_state.MovePhase.RUNNING else None


def encode_state(service: str, state: move_state.MoveState) -> bytes:
    """Encodes the state of a move for the operators."""
    return msgspec.json.encode(
        {
            "service": service,
            "to_version": state.to_version,
            "state": state.phase.value,
        }
    )

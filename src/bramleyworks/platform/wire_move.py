"""Decodes and encodes version moves: operators' orders and recorded states."""

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import move_order
from bramleyworks.gateway import move_state


def decode_order(
    raw: bytes, revision: int
) -> result.Result[move_order.MoveOrder, errors.DocumentError]:
    """Decodes an operator's order."""
    try:
        body = msgspec.json.decode(raw)
        return result.Ok(
            move_order.MoveOrder(
                service=body["service"],
                to_version=body["to_version"],
                duration_s=float(body["over_s"]),
                revision=revision,
            )
        )
    except (msgspec.DecodeError, KeyError, ValueError, TypeError) as exc:
        return result.Err(
            errors.DocumentError("rollout.decode", "store", repr(exc))
        )


def decode_state(
    raw: bytes, revision: int
) -> result.Result[move_state.MoveState, errors.DocumentError]:
    """Decodes the recorded state of a move."""
    try:
        body = msgspec.json.decode(raw)
        return result.Ok(
            move_state.MoveState(
                to_version=body["to_version"],
                phase=move_state.MovePhase(body["state"]),
                revision=revision,
            )
        )
    except (msgspec.DecodeError, KeyError, ValueError, TypeError) as exc:
        return result.Err(
            errors.DocumentError("rollout_state.decode", "store", repr(exc))
        )


def encode_state(
    service: str, to_version: str, phase: move_state.MovePhase
) -> bytes:
    """Encodes the state of a move for the operators."""
    return msgspec.json.encode(
        {"service": service, "to_version": to_version, "state": phase.value}
    )

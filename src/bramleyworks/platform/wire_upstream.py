"""Decodes the registrations of upstreams."""

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import instance
from bramleyworks.gateway import vm
from bramleyworks.platform import wire_json

STATES = ("ready", "draining")
# An upstream with more slots, or a longer cold start, is a mistake.
MAX_SLOTS = 10_000
MAX_COLD_LEFT_MS = 3_600_000
# Unix ms of the start of an upstream; 2^53 is the largest integer that all JSON
# codecs keep.
MAX_STARTED_MS = 2**53


def decode(
    instance_id: str, raw: bytes
) -> result.Result[instance.Instance, errors.DocumentError]:
    """Decodes one registration.

    Args:
        instance_id: Identity of the upstream, the end of the entry's key.
        raw: JSON text.
    """
    try:
        body = wire_json.decode(raw, dict)
        return result.Ok(_instance(wire_json.check_name(instance_id), body))
    except KeyError as exc:
        reason = f"field {exc.args[0]} is missing"
    except wire_json.FIELD_ERRORS as exc:
        reason = str(exc)
    return result.Err(
        errors.DocumentError("upstream.decode", repr(instance_id), reason)
    )


def report_order(raw: bytes) -> tuple[int, int] | None:
    """Returns what orders the reports of one upstream, None if unreadable.

    Args:
        raw: JSON text.

    Returns:
        The time of its start in Unix ms, and the number of the report since.
    """
    try:
        body = wire_json.decode(raw, dict)
    except msgspec.DecodeError:
        # Logged where the registration is decoded.
        return None
    started_ms, number = body.get("born") or 0, body.get("seq")
    if type(started_ms) is not int or type(number) is not int:
        return None
    return started_ms, number


def _instance(instance_id: str, body: dict) -> instance.Instance:
    host, port = vm.split_address(wire_json.check_text(body["addr"]))
    state = wire_json.check_text(body["state"])
    if state not in STATES:
        raise ValueError(f"state {state!r} is unknown")
    slots = wire_json.check_number(body["slots"], 1, MAX_SLOTS)
    if not isinstance(slots, int):
        raise ValueError("slots must be an integer")
    cold_left_ms = wire_json.check_number(
        body.get("cold_left_ms") or 0, -MAX_COLD_LEFT_MS, MAX_COLD_LEFT_MS
    )
    started_ms = wire_json.check_number(
        body.get("born") or 0, 0, MAX_STARTED_MS
    )
    if not isinstance(started_ms, int):
        raise ValueError("born must be an integer")
    return instance.Instance(
        id=instance_id,
        service=wire_json.check_text(body["service"]),
        host=host,
        port=port,
        failure_domain=wire_json.check_text(body["zone"]),
        version=wire_json.check_text(body["version"]),
        slots=slots,
        is_draining=state == "draining",
        cold_left_s=cold_left_ms / 1000,
        started_ms=started_ms,
    )

"""Decodes the registrations of upstreams."""

import ipaddress

import msgspec
import result

from bramleyworks import errors
from bramleyworks.gateway import instance

STATES = ("ready", "draining")


def decode(
    instance_id: str, raw: bytes
) -> result.Result[instance.Instance, errors.DocumentError]:
    """Decodes one registration.

    Args:
        instance_id: Identity of the upstream, the end of the entry's key.
        raw: JSON text.
    """
    try:
        body = msgspec.json.decode(raw)
        return result.Ok(_instance(instance_id, body))
    except KeyError as exc:
        reason = f"field {exc.args[0]} is missing"
    except (msgspec.DecodeError, ValueError, TypeError, AttributeError) as exc:
        reason = str(exc)
    return result.Err(
        errors.DocumentError("upstream.decode", instance_id, reason)
    )


def report_order(raw: bytes) -> tuple[int, int] | None:
    """Returns what orders the reports of one upstream, None if unreadable.

    Args:
        raw: JSON text.

    Returns:
        The time of its start in Unix ms, and the number of the report since.
    """
    try:
        body = msgspec.json.decode(raw, type=dict)
    except msgspec.DecodeError:
        # Logged where the registration is decoded.
        return None
    started_ms, number = body.get("born") or 0, body.get("seq")
    if type(started_ms) is not int or type(number) is not int:
        return None
    return started_ms, number


def _instance(instance_id: str, body: dict) -> instance.Instance:
    host, _, port = _string(body, "addr").rpartition(":")
    ipaddress.ip_address(host)
    state = _string(body, "state")
    if state not in STATES:
        raise ValueError(f"state {state!r} is unknown")
    slots = body["slots"]
    if type(slots) is not int or slots < 1:
        raise ValueError("slots must be a positive integer")
    cold_left_ms = body.get("cold_left_ms") or 0
    if not isinstance(cold_left_ms, int | float):
        raise ValueError("cold_left_ms must be a number")
    started_ms = body.get("born") or 0
    return instance.Instance(
        id=instance_id,
        service=_string(body, "service"),
        host=host,
        port=int(port),
        failure_domain=_string(body, "zone"),
        version=_string(body, "version"),
        slots=slots,
        is_draining=state == "draining",
        cold_left_s=cold_left_ms / 1000,
        started_ms=started_ms if type(started_ms) is int else 0,
    )


def _string(body: dict, name: str) -> str:
    value = body[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} must be a non-empty string")
    return value

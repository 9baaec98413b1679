"""The status that a daemon reports."""

import dataclasses
import json
from typing import Any

import aiohttp
import result

from bramleyworks import errors

STATUS_TIMEOUT_S = 3.0
STATUS_MAX_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class DaemonStatus:
    """The response of a daemon to ``GET /-/status``.

    Attributes:
        address: Address of its HTTP interface, ``HOST:PORT``.
        vm: Name of its VM.
        config_version: Configuration version it has in force, 0 for none.
        members: Configuration versions of the members in its view, by VM name.
        listed: VMs on the platform's list, None if it has not read it.
    """

    address: str
    vm: str
    config_version: int
    members: dict[str, int]
    listed: frozenset[str] | None


async def fetch(
    session: aiohttp.ClientSession, address: str
) -> result.Result[DaemonStatus, errors.PlatformError]:
    """Fetches the status of one daemon.

    Args:
        session: HTTP client with a timeout of ``STATUS_TIMEOUT_S``.
        address: ``HOST:PORT`` of the daemon's HTTP interface.
    """
    step = "daemon.status"
    try:
        async with session.get(f"http://{address}/-/status") as resp:
            if resp.status != 200:
                return result.Err(
                    errors.PlatformError(
                        step, address, f"responded with status {resp.status}"
                    )
                )
            data = await resp.content.read(STATUS_MAX_BYTES)
            while not resp.content.at_eof() and len(data) < STATUS_MAX_BYTES:
                data += await resp.content.read(STATUS_MAX_BYTES - len(data))
    except TimeoutError:
        return result.Err(
            errors.PlatformError(
                step, address, f"no response within {STATUS_TIMEOUT_S:g} s"
            )
        )
    except (aiohttp.ClientError, ValueError, OSError) as exc:
        return result.Err(errors.PlatformError(step, address, str(exc)))
    return parse(data, address)


def parse(
    data: bytes, address: str
) -> result.Result[DaemonStatus, errors.PlatformError]:
    """Decodes a status; unused fields are ignored."""
    try:
        value = json.loads(data)
        return result.Ok(
            DaemonStatus(
                address=address,
                vm=_require_type(value["vm"], str),
                config_version=_require_type(value["config_version"], int),
                members=_members(value.get("members") or {}),
                listed=_vm_names(value.get("listed")),
            )
        )
    except (ValueError, LookupError, TypeError, RecursionError) as exc:
        return result.Err(
            errors.PlatformError(
                "daemon.status", address, f"malformed status: {exc!r}"
            )
        )


def _require_type(value: Any, kind: type) -> Any:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"expected {kind.__name__}")
    return value


def _vm_names(value: Any) -> frozenset[str] | None:
    if value is None:
        return None
    if not isinstance(value, list):
        raise TypeError("expected a list of VM names")
    return frozenset(_require_type(name, str) for name in value)


def _members(value: Any) -> dict[str, int]:
    if not isinstance(value, dict):
        raise TypeError("expected members by VM name")
    return {
        _require_type(name, str): _require_type(item["config_version"], int)
        for name, item in value.items()
    }

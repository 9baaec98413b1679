"""Settings of the daemon, read from an INI file."""

import dataclasses
import ipaddress
import urllib.parse

import result

from bramleyworks import errors
from bramleyworks import ini

DEFAULT_DRAIN_S = 40.0
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclasses.dataclass(frozen=True)
class Settings:
    """Validated settings of one daemon.

    Attributes:
        vm_id: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        http: Address to listen on for callers, ``IP:PORT``.
        peer: Address to listen on for other daemons, ``IP:PORT``.
        store_url: Base URL of the store.
        vm_list_url: Base URL of the platform's VM list.
        seeds: Peer addresses of other VMs, used to join the fleet.
        drain_s: Maximum time in seconds that a drain waits for running
            requests.
        max_header_bytes: Maximum size of a request's header section in
            bytes.
        log_level: One of ``LOG_LEVELS``.
    """

    vm_id: str
    region: str
    failure_domain: str
    http: str
    peer: str
    store_url: str
    vm_list_url: str
    seeds: tuple[str, ...]
    drain_s: float
    max_header_bytes: int
    log_level: str


def _parse_name(text: str) -> str:
    if not text or not text.isascii() or "/" in text or " " in text:
        raise ValueError("must be a name without spaces and slashes")
    return text


def _parse_vm_id(text: str) -> str:
    if "." in text:
        raise ValueError("must not contain a dot")
    return _parse_name(text)


def _parse_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("must be IP:PORT")
    ipaddress.ip_address(host.strip("[]"))
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(
        _parse_address(part.strip()) for part in text.split(",") if part
    )


def _parse_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise ValueError("must be an http or https URL")
    return text.rstrip("/")


def _parse_seconds(text: str) -> float:
    value = float(text)
    if not 0 <= value <= 3600:
        raise ValueError("must be 0 to 3600 seconds")
    return value


def _parse_header_bytes(text: str) -> int:
    value = int(text)
    if not 1024 <= value <= 1024 * 1024:
        raise ValueError("must be 1024 to 1048576 bytes")
    return value


def _parse_log_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise ValueError("must be one of " + ", ".join(LOG_LEVELS))
    return text


_FIELDS = (
    ini.Field("vm", "id", "vm_id", _parse_vm_id),
    ini.Field("vm", "region", "region", _parse_name),
    ini.Field("vm", "failure_domain", "failure_domain", _parse_name),
    ini.Field("listen", "http", "http", _parse_address),
    ini.Field("listen", "peer", "peer", _parse_address),
    ini.Field("store", "url", "store_url", _parse_url),
    ini.Field("vm_list", "url", "vm_list_url", _parse_url),
    ini.Field("seeds", "peers", "seeds", _parse_addresses, ()),
    ini.Field("limits", "drain_s", "drain_s", _parse_seconds, DEFAULT_DRAIN_S),
    ini.Field(
        "limits",
        "max_header_bytes",
        "max_header_bytes",
        _parse_header_bytes,
        DEFAULT_MAX_HEADER_BYTES,
    ),
    ini.Field("log", "level", "log_level", _parse_log_level, "info"),
)


def parse(
    text: str, source: str
) -> result.Result[Settings, tuple[errors.SettingsError, ...]]:
    """Parses and validates settings.

    Args:
        text: Content of the INI file.
        source: Name of the file, for error messages.

    Returns:
        The settings, or all errors found, each with section and key.
    """
    return ini.parse(text, source, _FIELDS).map(
        lambda values: Settings(**values)
    )

"""Settings of an entry VM, read from an INI file."""

import dataclasses
import pathlib

import result

from bramleyworks import errors
from bramleyworks import ini
from bramleyworks.gateway import turn_scheduler

SHED_UNEVEN = "uneven"
SHED_ALWAYS = "always"
SHED_BY_RANK = (SHED_UNEVEN, SHED_ALWAYS, "never")


@dataclasses.dataclass(frozen=True)
class Settings:
    """Checked settings of one entry VM.

    Attributes:
        vm_id: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        regions: Region of each failure domain.
        ip: IP address at which peers reach the VM.
        entry: Address for callers, ``IP:PORT``.
        ready: Address of the readiness check.
        control: Address for other VMs.
        directory: Address for entry look-ups, empty to serve none.
        first_port: UDP port for heartbeats between VMs.
        metrics_port: TCP port of the metrics.
        seeds: Control addresses of VMs to contact at the start.
        store: Address of the store.
        grace_s: Seconds from the request to stop to the forced end.
        retry_ratio: Retries allowed per request, over all VMs.
        retry_slack: Additional retries allowed per window, over all VMs.
        retry_window_s: Window in which retries are counted, in seconds.
        quota_window_s: Window in which requests count against a rate, in
            seconds.
        quota_over: Tolerated excess over a rate, as a fraction of it.
        quota_slack: Additional requests tolerated over a rate.
        link_mbps: Bandwidth of the VM's link in Mbit/s, 0 if unknown.
        ram_mb: Memory of the VM in MB, 0 for no bound on uploads by it.
        max_shift: Fraction of a region's requests that may change the region
            in which they run from one window of 2 s to the next.
        lookup_ttl_s: Longest time in seconds for which callers may cache a
            look-up.
        shed_by_rank: For which services requests are refused by rank under
            pressure: ``uneven`` for those with a region short of slots,
            ``always`` for all, or ``never``.
        max_fds: File descriptors that its process may open.
        client_memory_mb: Memory in MB that all clients may hold, 0 for a part
            of the VM's.
        client_conns: Connections that all clients may hold, 0 for a part of the
            descriptors.
        client_work: Parsed fields and chunks of one client in one step.
        turn_work: Parsed fields and chunks of all clients that are deferred, in
            a turn of the event loop.
        log_level: Level of the process log.
        duty_address: Address of the platform's service for duties, empty if
            there is none.
        duty_names: Duties that one VM at a time performs.
        duty_calls_per_s: Calls a second that the service accepts.
        report_s: Length of a window of usage reports in seconds.
        usage_late_s: Time after the end of a window at which its report is due.
        lease_ms: Time to live of a holder's lease in milliseconds.
        is_fenced: Whether the service checks fencing tokens.
    """

    vm_id: str
    region: str
    failure_domain: str
    regions: dict[str, str]
    ip: str
    entry: str
    ready: str
    control: str
    directory: str
    first_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    store: str
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota_window_s: float
    quota_over: float
    quota_slack: float
    link_mbps: float
    ram_mb: float
    max_shift: float
    lookup_ttl_s: float
    shed_by_rank: str
    max_fds: float
    client_memory_mb: float
    client_conns: float
    client_work: int
    turn_work: int
    log_level: str
    duty_address: str = ""
    duty_names: tuple[str, ...] = ()
    duty_calls_per_s: float = 50.0
    report_s: float = 5.0
    usage_late_s: float = 10.0
    lease_ms: float = 3000.0
    is_fenced: bool = True


def _parse_regions(text: str) -> dict[str, str]:
    pairs = [part.split(":", 1) for part in text.split()]
    if not pairs or any(len(pair) != 2 for pair in pairs):
        raise ValueError("must be DOMAIN:REGION pairs")
    return {domain: region for domain, region in pairs}


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("must be IP:PORT")
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(_parse_address(part) for part in text.split(",") if part)


def _parse_name(text: str) -> str:
    if not text or any(c.isspace() for c in text):
        raise ValueError("must be a name without spaces")
    return text


def _parse_shed_by_rank(text: str) -> str:
    if text not in SHED_BY_RANK:
        raise ValueError(f"must be one of {', '.join(SHED_BY_RANK)}")
    return text


def _parse_amount(text: str) -> float:
    value = float(text)
    if not 0 <= value < 1e9:
        raise ValueError("must be a number from 0 to below 1e9")
    return value


def _parse_positive(text: str) -> float:
    value = _parse_amount(text)
    if value <= 0:
        raise ValueError("must be above 0")
    return value


def _parse_names(text: str) -> tuple[str, ...]:
    # A name is part of keys of the store.
    names = tuple(_parse_name(part.strip()) for part in text.split(","))
    if any("/" in name for name in names) or len(set(names)) < len(names):
        raise ValueError("must be different names without slashes")
    return names


def _parse_flag(text: str) -> bool:
    if text.lower() not in _FLAGS:
        raise ValueError("must be true or false")
    return _FLAGS[text.lower()]


def _parse_work(text: str) -> int:
    value = int(text)
    if not 0 < value < 1e9:
        raise ValueError("must be a whole number from 1 to below 1e9")
    return value


def _parse_port(text: str) -> int:
    value = int(text)
    if not 0 < value < 65535:
        raise ValueError("must be a port")
    return value


_FLAGS = {"true": True, "false": False, "1": True, "0": False}
_FIELDS = (
    ini.Field("vm", "id", "vm_id", _parse_name),
    ini.Field("vm", "region", "region", _parse_name),
    ini.Field("vm", "failure_domain", "failure_domain", _parse_name),
    ini.Field("vm", "ip", "ip", _parse_name),
    ini.Field("vm", "regions", "regions", _parse_regions),
    ini.Field("listen", "entry", "entry", _parse_address),
    ini.Field("listen", "ready", "ready", _parse_address),
    ini.Field("listen", "control", "control", _parse_address),
    ini.Field("listen", "directory", "directory", _parse_address, ""),
    ini.Field("listen", "first_port", "first_port", _parse_port),
    ini.Field("listen", "metrics_port", "metrics_port", _parse_port),
    ini.Field("seeds", "control", "seeds", _parse_addresses, ()),
    ini.Field("store", "address", "store", _parse_address),
    ini.Field("limits", "grace_s", "grace_s", _parse_amount, 6.0),
    ini.Field("limits", "retry_ratio", "retry_ratio", _parse_amount, 0.2),
    ini.Field("limits", "retry_slack", "retry_slack", _parse_amount, 0.0),
    ini.Field(
        "limits", "retry_window_s", "retry_window_s", _parse_amount, 10.0
    ),
    ini.Field("limits", "quota_window_s", "quota_window_s", _parse_amount, 5.0),
    ini.Field("limits", "quota_over", "quota_over", _parse_amount, 0.0),
    ini.Field("limits", "quota_slack", "quota_slack", _parse_amount, 0.0),
    ini.Field("limits", "link_mbps", "link_mbps", _parse_amount, 0.0),
    ini.Field("limits", "ram_mb", "ram_mb", _parse_amount, 200.0),
    ini.Field("limits", "max_shift", "max_shift", _parse_amount, 1.0),
    ini.Field("limits", "lookup_ttl_s", "lookup_ttl_s", _parse_amount, 5.0),
    ini.Field(
        "limits",
        "shed_by_rank",
        "shed_by_rank",
        _parse_shed_by_rank,
        SHED_UNEVEN,
    ),
    ini.Field("limits", "max_fds", "max_fds", _parse_amount, 4100.0),
    ini.Field(
        "limits", "client_memory_mb", "client_memory_mb", _parse_amount, 0.0
    ),
    ini.Field("limits", "client_conns", "client_conns", _parse_amount, 0.0),
    ini.Field(
        "limits",
        "client_work",
        "client_work",
        _parse_work,
        turn_scheduler.DEFAULT_CLIENT_UNITS,
    ),
    ini.Field(
        "limits",
        "turn_work",
        "turn_work",
        _parse_work,
        turn_scheduler.DEFAULT_TURN_UNITS,
    ),
    ini.Field("log", "level", "log_level", _parse_name, "info"),
    ini.Field("duty", "address", "duty_address", _parse_address, ""),
    ini.Field("duty", "names", "duty_names", _parse_names, ()),
    ini.Field("duty", "calls_per_s", "duty_calls_per_s", _parse_positive, 50.0),
    ini.Field("duty", "report_s", "report_s", _parse_positive, 5.0),
    ini.Field("duty", "usage_late_s", "usage_late_s", _parse_positive, 10.0),
    ini.Field("duty", "lease_ms", "lease_ms", _parse_positive, 3000.0),
    ini.Field("duty", "is_fenced", "is_fenced", _parse_flag, True),
)


def parse(
    text: str, source: str
) -> result.Result[Settings, tuple[errors.SettingsError, ...]]:
    """Parses and checks settings.

    Args:
        text: Content of the INI file.
        source: Name of the file, for errors.

    Returns:
        The settings, or all errors found, each with its section and key.
    """
    return ini.parse(text, source, _FIELDS).map(lambda v: Settings(**v))


def read(
    path: str,
) -> result.Result[Settings, tuple[errors.SettingsError, ...]]:
    """Reads, parses and checks a settings file."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as exc:
        return result.Err(
            (errors.SettingsError("settings.read", path, str(exc)),)
        )
    return parse(text, path)

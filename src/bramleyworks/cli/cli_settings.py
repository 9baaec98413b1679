"""Settings of the command-line tool."""

import configparser
import dataclasses
import getpass
import pathlib

from bramleyworks import errors

_KNOWN_KEYS = {
    "store": {"url"},
    "daemons": {"addresses"},
    "operator": {"name"},
    "console": {"listen"},
}


@dataclasses.dataclass(frozen=True)
class CliSettings:
    """Settings from the settings file and the command line.

    Attributes:
        store_url: URL of the store, empty if not given.
        daemons: Addresses of daemons, ``HOST:PORT``.
        author: Name of the operator in the history.
        console_listen: Address on which the console listens, ``HOST:PORT``.
    """

    store_url: str = ""
    daemons: tuple[str, ...] = ()
    author: str = ""
    console_listen: str = "127.0.0.1:8090"


def load(path: str | None) -> CliSettings:
    """Reads an INI file, or returns the defaults without one.

    Raises:
        errors.SettingsError: The file cannot be read or has unknown
            sections or keys, which are all listed in the error.
    """
    parser = configparser.ConfigParser(interpolation=None)
    if path is not None:
        try:
            parser.read_string(pathlib.Path(path).read_text("utf-8"), path)
        except (OSError, UnicodeDecodeError, configparser.Error) as exc:
            reason = " ".join(str(exc).split())
            raise errors.SettingsError("settings.read", path, reason) from exc
    unknown = [
        f"[{section}]" if section not in _KNOWN_KEYS else f"[{section}] {key}"
        for section in parser.sections()
        for key in (parser[section] if section in _KNOWN_KEYS else [""])
        if key not in _KNOWN_KEYS.get(section, ())
    ]
    if parser.defaults():
        unknown.append("[DEFAULT]")
    if unknown:
        raise errors.SettingsError(
            "settings.check", path or "-", "unknown: " + ", ".join(unknown)
        )
    defaults = CliSettings()
    return CliSettings(
        store_url=parser.get("store", "url", fallback=""),
        daemons=tuple(
            address.strip()
            for address in parser.get(
                "daemons", "addresses", fallback=""
            ).split(",")
            if address.strip()
        ),
        author=parser.get("operator", "name", fallback="") or _login_name(),
        console_listen=parser.get(
            "console", "listen", fallback=defaults.console_listen
        ),
    )


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ""

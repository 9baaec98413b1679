"""The platform's list of live and leaving VMs."""

import contextlib
import dataclasses

import aiohttp
import msgspec

from bramleyworks import errors
from bramleyworks.adapters import http_session
from bramleyworks.adapters import listed_vm

TIMEOUT_S = 1.5


@dataclasses.dataclass(frozen=True)
class _Response:
    vms: tuple[listed_vm.ListedVm, ...]


class VmList:
    """Reads the VM list; an asynchronous context manager."""

    def __init__(self, url: str, timeout_s: float = TIMEOUT_S):
        """Initializes the reader without connecting.

        Args:
            url: Base URL, ``http://IP:PORT``.
            timeout_s: Timeout of one read in seconds.
        """
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "VmList":
        self._session = await self._stack.enter_async_context(
            http_session.create(self._timeout_s)
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._stack.aclose()

    async def read(self) -> tuple[listed_vm.ListedVm, ...]:
        """Returns the VMs on the list.

        Raises:
            errors.PlatformError: The list can not be read or is malformed.
        """
        try:
            async with self._session.get(f"{self._url}/vms") as resp:
                data = await resp.read()
                if resp.status != 200:
                    raise self._error(f"status {resp.status}")
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise self._error(repr(exc)) from exc
        try:
            return msgspec.json.decode(data, type=_Response).vms
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise self._error(str(exc)) from exc

    def _error(self, reason: str) -> errors.PlatformError:
        return errors.PlatformError("vm_list.read", self._url, reason)

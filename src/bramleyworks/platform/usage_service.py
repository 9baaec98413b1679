"""Client of the platform's service for usage reports."""

import contextlib
import enum
from collections.abc import Mapping

import aiohttp
import msgspec

from bramleyworks import errors
from bramleyworks.adapters import http_session
from bramleyworks.platform import header_names

# A call without a response is repeated, and may be executed all the same.
CALL_TIMEOUT_S = 1.0
REPORT_PATH = "/usage"


class ReportResult(enum.Enum):
    """What the service says to a report."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    TOO_MANY = "too many"


class UsageService:
    """Calls the service; each call makes one attempt."""

    def __init__(self, address: str):
        """Initializes the client without connecting.

        Args:
            address: ``IP:PORT`` of the service.
        """
        self._address = address
        self._stack = contextlib.AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Opens the connection pool."""
        self._session = await self._stack.enter_async_context(
            http_session.create(CALL_TIMEOUT_S)
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._stack.aclose()

    async def report(
        self, holder: str, token: int, window: int, counts: Mapping[str, int]
    ) -> ReportResult:
        """Sends the report of a window.

        Args:
            holder: Name of the VM that holds the duty.
            token: Its fencing token.
            window: The window.
            counts: Requests by organisation.

        Raises:
            errors.PlatformError: There was no usable response; the report may
                have been accepted, or may still be.
        """
        try:
            async with self._session.post(
                f"http://{self._address}{REPORT_PATH}",
                data=msgspec.json.encode(
                    {"window_id": window, "counts": dict(counts)}
                ),
                headers={
                    "Content-Type": "application/json",
                    header_names.DUTY_HOLDER: holder,
                    header_names.FENCING_TOKEN: str(token),
                },
            ) as response:
                await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise errors.PlatformError(
                "usage.report", self._address, str(exc) or type(exc).__name__
            ) from exc
        if status == 409:
            return ReportResult.FENCED
        if status == 429:
            return ReportResult.TOO_MANY
        if status != 200:
            raise errors.PlatformError(
                "usage.report", self._address, f"status {status}"
            )
        return ReportResult.ACCEPTED

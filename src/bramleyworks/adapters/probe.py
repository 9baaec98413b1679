"""Health and load probe of an upstream over HTTP."""

import asyncio
from typing import Literal

import aiohttp
import msgspec
import result

from bramleyworks import errors
from bramleyworks.policy import probe_result

HEALTH_PATH = "/-/health"
TIMEOUT_S = 0.9
MAX_BODY_BYTES = 4096


class _Body(msgspec.Struct):
    """The JSON response; fields not listed are ignored."""

    status: Literal["ok", "draining", "failing"]
    busy: int
    slots: int
    version: str


_DECODER = msgspec.json.Decoder(_Body)


class Probe:
    """Reads health endpoints; owns its HTTP session.

    Use as an asynchronous context manager.
    """

    def __init__(self, timeout_s: float = TIMEOUT_S):
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Probe":
        self._session = aiohttp.ClientSession(
            # With a limit, probes of slow upstreams would delay the probes
            # of others.
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._session.close()

    async def read(
        self, url: str
    ) -> result.Result[probe_result.ProbeResult, errors.PlatformError]:
        """Reads the health of one upstream.

        Args:
            url: Base URL of the upstream.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._session.get(
                    url + HEALTH_PATH, allow_redirects=False
                ) as resp:
                    if resp.status != 200:
                        return _error(url, f"status {resp.status}")
                    data = await _read_body(resp.content)
        except TimeoutError:
            return _error(url, f"no response within {self._timeout_s} s")
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            return _error(url, f"{type(exc).__name__}: {exc}")
        if len(data) > MAX_BODY_BYTES:
            return _error(url, f"response over {MAX_BODY_BYTES} bytes")
        try:
            body = _DECODER.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return _error(url, str(exc))
        return result.Ok(
            probe_result.ProbeResult(
                body.status, body.busy, body.slots, body.version
            )
        )


async def _read_body(content: aiohttp.StreamReader) -> bytes:
    data = b""
    while len(data) <= MAX_BODY_BYTES:
        chunk = await content.read(MAX_BODY_BYTES + 1 - len(data))
        if not chunk:
            break
        data += chunk
    return data


def _error(url: str, reason: str) -> result.Err[errors.PlatformError]:
    return result.Err(errors.PlatformError("probe.read", url, reason))

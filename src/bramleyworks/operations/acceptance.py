"""Determines whether the fleet has accepted a configuration version."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import result

from bramleyworks import errors
from bramleyworks.adapters import http_session
from bramleyworks.operations import daemon_status

POLL_S = 0.5

StatusResult = result.Result[daemon_status.DaemonStatus, errors.PlatformError]


@dataclasses.dataclass(frozen=True)
class Acceptance:
    """Progress of a configuration version in the fleet.

    Attributes:
        version: The version.
        listed: VMs on the platform's list, as reported by daemons.
        confirmed: Listed VMs that have the version or a newer one in force.
        failures: Errors of daemons that gave no valid response.
    """

    version: int
    listed: frozenset[str]
    confirmed: frozenset[str]
    failures: tuple[errors.PlatformError, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether a majority of the listed VMs has the version in force."""
        return len(self.confirmed) * 2 > len(self.listed)

    @property
    def missing(self) -> tuple[str, ...]:
        """Listed VMs not confirmed to have the version, sorted by name."""
        return tuple(sorted(self.listed - self.confirmed))


def evaluate(version: int, statuses: Sequence[StatusResult]) -> Acceptance:
    """Evaluates a version from the status of daemons.

    A VM's version counts also if only another daemon reports it: a daemon never
    goes back to an older version, so a stale report can only be too low. If
    daemons have read different lists, the union counts, which can only raise
    the required majority.
    """
    listed: set[str] = set()
    versions: dict[str, int] = {}
    for found in statuses:
        if found.is_err():
            continue
        status = found.unwrap()
        listed |= status.listed or frozenset()
        reported = {**status.members, status.vm: status.config_version}
        for vm, reported_version in reported.items():
            versions[vm] = max(reported_version, versions.get(vm, 0))
    return Acceptance(
        version=version,
        listed=frozenset(listed),
        confirmed=frozenset(
            vm for vm in listed if versions.get(vm, 0) >= version
        ),
        failures=tuple(
            found.unwrap_err() for found in statuses if found.is_err()
        ),
    )


async def ask(addresses: Sequence[str]) -> list[StatusResult]:
    """Fetches the status of several daemons concurrently."""
    async with http_session.create(daemon_status.STATUS_TIMEOUT_S) as session:
        return await asyncio.gather(
            *(daemon_status.fetch(session, address) for address in addresses)
        )


async def wait(
    version: int,
    addresses: Sequence[str],
    wait_s: float,
    *,
    fetch: Callable[[Sequence[str]], Awaitable[list[StatusResult]]]
    | None = None,
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> Acceptance:
    """Polls daemons until a version is accepted or the timeout expires."""
    fetch = fetch or ask
    deadline_s = clock() + wait_s
    while True:
        progress = evaluate(version, await fetch(addresses))
        if progress.accepted or clock() + POLL_S > deadline_s:
            return progress
        await sleep(POLL_S)

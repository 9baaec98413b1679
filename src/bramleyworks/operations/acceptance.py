"""Whether a configuration version is accepted."""

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
    """How far a version has come.

    Attributes:
        version: The version.
        listed: VMs on the platform's list, as far as daemons report it.
        confirmed: Listed VMs that have the version or a newer one in force.
        failures: Daemons that did not answer.
    """

    version: int
    listed: frozenset[str]
    confirmed: frozenset[str]
    failures: tuple[errors.PlatformError, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether a majority of the listed VMs has it in force."""
        return len(self.confirmed) * 2 > len(self.listed)

    @property
    def missing(self) -> tuple[str, ...]:
        """Listed VMs that are not known to have it, by name."""
        return tuple(sorted(self.listed - self.confirmed))


def evaluate(version: int, answers: Sequence[StatusResult]) -> Acceptance:
    """Judges a version from daemons' answers.

    A member's version as heard by another daemon counts too: a daemon never
    goes back to an older version, so an old report can only be too low. If
    daemons have read different lists, the union counts, which can only raise
    the majority that is needed.
    """
    listed: set[str] = set()
    versions: dict[str, int] = {}
    for answer in answers:
        if answer.is_err():
            continue
        status = answer.unwrap()
        listed |= status.listed or frozenset()
        reported = {**status.members, status.vm: status.config_version}
        for vm, known in reported.items():
            versions[vm] = max(known, versions.get(vm, 0))
    return Acceptance(
        version=version,
        listed=frozenset(listed),
        confirmed=frozenset(
            vm for vm in listed if versions.get(vm, 0) >= version
        ),
        failures=tuple(
            answer.unwrap_err() for answer in answers if answer.is_err()
        ),
    )


async def fetch_all(addresses: Sequence[str]) -> list[StatusResult]:
    """Asks several daemons at once for their status."""
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
    """Asks daemons until a version is accepted or the time is over."""
    fetch = fetch or fetch_all
    end_s = clock() + wait_s
    while True:
        found = evaluate(version, await fetch(addresses))
        if found.accepted or clock() + POLL_S > end_s:
            return found
        await sleep(POLL_S)

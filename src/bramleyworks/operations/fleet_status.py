"""Status of a deployment as read from the store and the daemons."""

import dataclasses
from collections.abc import Sequence
from typing import Any

from bramleyworks import errors
from bramleyworks.adapters import store
from bramleyworks.document import stored_config
from bramleyworks.operations import acceptance
from bramleyworks.operations import config_writer
from bramleyworks.operations import daemon_status
from bramleyworks.policy import move_record


@dataclasses.dataclass(frozen=True)
class MoveStatus:
    """A version move and the verdict that its driver recorded.

    Attributes:
        move_id: Id of the move.
        verdict: ``waiting`` (no record), ``running``, ``done`` or ``undone``.
        share_ppm: Share of the new version in millionths.
        reason: Reason for the verdict, empty if there is none.
    """

    move_id: str
    verdict: str
    share_ppm: int
    reason: str

    def __str__(self) -> str:
        text = f"{self.move_id}: {self.verdict}, share {self.share_ppm / 1e4}%"
        return text + (f", {self.reason}" if self.reason else "")


@dataclasses.dataclass(frozen=True)
class FleetStatus:
    """The state of a deployment as far as it could be read.

    Attributes:
        store_read: Whether the store could be read.
        stored: The configuration in the store, None if there is none.
        moves: Moves in the configuration with their verdicts.
        daemons: Status of the daemons that responded.
        acceptance: Progress of the stored version, None if it is unknown.
        failures: Errors of the reads that failed.
    """

    store_read: bool
    stored: stored_config.StoredConfig | None
    moves: tuple[MoveStatus, ...]
    daemons: tuple[daemon_status.DaemonStatus, ...]
    acceptance: acceptance.Acceptance | None
    failures: tuple[errors.BramleyworksError, ...]


async def collect(
    source: store.Store, daemons: Sequence[str], peer: str
) -> FleetStatus:
    """Reads the store once and fetches the status of each daemon once."""
    failures: list[errors.BramleyworksError] = []
    stored, moves = None, ()
    config_read = await config_writer.read(source, peer)
    if config_read.is_err():
        failures.append(config_read.unwrap_err())
    else:
        stored, _ = config_read.unwrap()
    if stored and stored.doc.moves:
        try:
            entry = await source.get(config_writer.MOVES_KEY)
            moves = _move_statuses(stored, entry.value if entry else b"{}")
        except errors.StoreError as exc:
            failures.append(exc)
    statuses = await acceptance.ask(daemons) if daemons else []
    progress = None
    if stored and statuses:
        progress = acceptance.evaluate(stored.version, statuses)
    return FleetStatus(
        store_read=config_read.is_ok(),
        stored=stored,
        moves=moves,
        daemons=tuple(item.unwrap() for item in statuses if item.is_ok()),
        acceptance=progress,
        failures=(
            *failures,
            *(item.unwrap_err() for item in statuses if item.is_err()),
        ),
    )


def as_dict(status: FleetStatus) -> dict[str, Any]:
    """Returns the status as JSON-like values."""
    stored, progress = status.stored, status.acceptance
    return {
        "config": stored
        and {
            "version": stored.version,
            "author": stored.author,
            "time_s": stored.time_s,
            "apply_id": stored.apply_id,
        },
        "moves": [dataclasses.asdict(item) for item in status.moves],
        "daemons": [
            {
                "address": item.address,
                "vm": item.vm,
                "config_version": item.config_version,
                "members": item.members,
                "listed": item.listed and sorted(item.listed),
            }
            for item in status.daemons
        ],
        "accepted": progress and progress.accepted,
        "missing": progress and list(progress.missing),
        "failures": [
            {"step": exc.step, "peer": exc.peer, "reason": exc.reason}
            for exc in status.failures
        ],
    }


def _move_statuses(
    stored: stored_config.StoredConfig, data: bytes
) -> tuple[MoveStatus, ...]:
    records = move_record.decode_all(data) or {}
    return tuple(
        _move_status(item.id, records.get(item.id)) for item in stored.doc.moves
    )


def _move_status(
    move_id: str, record: move_record.MoveRecord | None
) -> MoveStatus:
    if record is None:
        return MoveStatus(move_id, "waiting", 0, "")
    return MoveStatus(move_id, record.verdict, record.share_ppm, record.reason)

"""Writes new versions of the document to the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
import result

from bramleyworks import errors
from bramleyworks.adapters import store
from bramleyworks.adapters import store_entry
from bramleyworks.document import codec
from bramleyworks.document import diff
from bramleyworks.document import document
from bramleyworks.document import history_entry
from bramleyworks.document import problem
from bramleyworks.document import stored_config
from bramleyworks.document import validation
from bramleyworks.document.rules import size_rules
from bramleyworks.operations import apply_errors
from bramleyworks.policy import move_record

MOVES_KEY = "moves"
READ_ATTEMPTS = 6
READ_DELAY_S = 0.5
SUMMARY_MAX_BYTES = 400
AUTHOR_MAX_CHARS = 64

Sleep = Callable[[float], Awaitable[None]]
ApplyResult = result.Result[stored_config.StoredConfig, apply_errors.ApplyError]


async def read(
    source: store.Store, peer: str = "store"
) -> result.Result[
    tuple[stored_config.StoredConfig | None, int], errors.BramleyworksError
]:
    """Reads the configuration once.

    Returns:
        The configuration, None if there is none yet, and its store revision.
    """
    try:
        entry = await source.get(stored_config.CONFIG_KEY)
    except errors.StoreError as exc:
        return result.Err(exc)
    return _decode(entry, peer)


async def apply(
    store: store.Store,
    doc: document.Document,
    base_version: int,
    author: str,
    now_s: float,
    apply_id: str,
    *,
    peer: str = "store",
    sleep: Sleep = asyncio.sleep,
) -> ApplyResult:
    """Validates a document and writes it as the next version.

    Sends at most one write. If its reply is lost, the value is read back up
    to ``READ_ATTEMPTS`` times and compared by ``apply_id``.

    Args:
        store: Store to write to.
        doc: The document.
        base_version: Version from which the operator made the document, 0 if
            there was none.
        author: Operator who applies it.
        now_s: Unix time in seconds.
        apply_id: Random id of this apply; never reused.
        peer: Name of the store in errors.
        sleep: Waits between read attempts.

    Returns:
        The written configuration, or a subclass of ``ApplyError``.
    """
    initial = await _read_with_retries(store, peer, sleep)
    if initial.is_err():
        return _not_written(initial.unwrap_err())
    current, revision = initial.unwrap()
    version = current.version if current else 0
    if version != base_version:
        return result.Err(_stale_base(peer, base_version, current))
    # The document is encoded and decoded once, so that every daemon that
    # encodes its configuration again gets the same bytes and digest.
    normalised = codec.decode(codec.encode(doc), peer)
    if normalised.is_err():
        return _not_written(normalised.unwrap_err())
    doc = normalised.unwrap()
    problems = _check_author(author) + validation.check(
        doc, now_s, current.doc if current else None
    )
    if doc.moves:
        used = await _used_move_ids(store, peer)
        if used.is_err():
            return _not_written(used.unwrap_err())
        problems += _check_move_ids(doc, current, used.unwrap())
    if problems:
        return result.Err(apply_errors.InvalidDocumentError(peer, problems))
    updated = _next_config(current, doc, author, now_s, apply_id)
    try:
        await store.put(
            stored_config.CONFIG_KEY, codec.encode_stored(updated), revision
        )
    except (errors.StoreConflictError, errors.StoreUnknownError) as exc:
        return await _resolve_outcome(store, updated, exc, peer, sleep)
    except errors.StoreError as exc:
        return _not_written(exc)
    return result.Ok(updated)


def find(
    current: stored_config.StoredConfig, apply_id: str
) -> history_entry.HistoryEntry | None:
    """Returns the change made by an apply, None if the history lacks it."""
    for entry in current.history:
        if entry.apply_id == apply_id:
            return entry
    return None


def summarise(old: document.Document | None, new: document.Document) -> str:
    """Returns the changes in one line of at most ``SUMMARY_MAX_BYTES``."""
    changes = diff.changes(old or document.Document(), new)
    line = "; ".join(str(change) for change in changes) or "no change"
    line = "".join(char if char.isprintable() else "?" for char in line)
    if len(line.encode()) <= SUMMARY_MAX_BYTES:
        return line
    suffix = f" ... ({len(changes)} changes)"
    prefix = line.encode()[: SUMMARY_MAX_BYTES - len(suffix)]
    return prefix.decode(errors="ignore") + suffix


def _next_config(
    current: stored_config.StoredConfig | None,
    doc: document.Document,
    author: str,
    now_s: float,
    apply_id: str,
) -> stored_config.StoredConfig:
    version = current.version + 1 if current else 1
    entry = history_entry.HistoryEntry(
        version=version,
        author=author,
        time_s=float(now_s),
        summary=summarise(current.doc if current else None, doc),
        apply_id=apply_id,
    )
    history = (entry, *(current.history if current else ()))
    updated = stored_config.StoredConfig(
        version=version,
        apply_id=apply_id,
        author=author,
        time_s=float(now_s),
        doc=doc,
        history=history[: stored_config.HISTORY_LIMIT],
    )
    # Entries written by other tools may exceed the margin for the history.
    while (
        len(codec.encode_stored(updated)) > size_rules.STORE_VALUE_BYTES
        and len(updated.history) > 1
    ):
        updated = msgspec.structs.replace(updated, history=updated.history[:-1])
    return updated


async def _resolve_outcome(
    source: store.Store,
    updated: stored_config.StoredConfig,
    cause: errors.StoreError,
    peer: str,
    sleep: Sleep,
) -> ApplyResult:
    """Determines by reading whether a write took effect."""
    is_unknown = isinstance(cause, errors.StoreUnknownError)
    detail = "the store could not be read"
    for attempt in range(READ_ATTEMPTS):
        if attempt:
            await sleep(READ_DELAY_S)
        outcome = await read(source, peer)
        if outcome.is_err():
            detail = f"the last read failed: {outcome.unwrap_err().reason}"
            continue
        current, _ = outcome.unwrap()
        version = current.version if current else 0
        if current and (
            current.apply_id == updated.apply_id
            or find(current, updated.apply_id)
        ):
            return result.Ok(updated)
        if version >= updated.version:
            if _history_contains(current, updated.version):
                return result.Err(
                    _stale_base(peer, updated.version - 1, current)
                )
            detail = (
                f"version {version} is in force and its history is too short"
            )
            break
        if not is_unknown:
            break
        # The write may still be in flight, so the base version alone does not
        # prove that it failed.
        detail = f"version {version} was in force at the last read"
    if not is_unknown:
        return _not_written(cause)
    return result.Err(
        apply_errors.OutcomeUnknownError(
            peer,
            f"the write of version {updated.version} may have taken effect"
            f" ({detail}); check with 'bramleyworks audit --apply-id"
            f" {updated.apply_id}' before applying again",
            updated.apply_id,
        )
    )


def _history_contains(
    current: stored_config.StoredConfig, version: int
) -> bool:
    return any(entry.version == version for entry in current.history)


def _stale_base(
    peer: str, base_version: int, current: stored_config.StoredConfig | None
) -> apply_errors.StaleBaseError:
    history = current.history if current else ()
    return apply_errors.StaleBaseError(
        peer,
        base_version,
        current.version if current else 0,
        tuple(entry for entry in history if entry.version > base_version),
    )


def _not_written(exc: errors.BramleyworksError) -> ApplyResult:
    return result.Err(
        apply_errors.NotWrittenError(
            exc.step, exc.peer, f"{exc.reason}; nothing was written"
        )
    )


async def _read_with_retries(source: store.Store, peer: str, sleep: Sleep):
    for attempt in range(READ_ATTEMPTS):
        if attempt:
            await sleep(READ_DELAY_S)
        outcome = await read(source, peer)
        if outcome.is_ok() or not isinstance(
            outcome.unwrap_err(), errors.StoreError
        ):
            break
    return outcome


def _decode(entry: store_entry.StoreEntry | None, peer: str):
    if entry is None:
        return result.Ok((None, 0))
    return codec.decode_stored(entry.value, peer).map(
        lambda stored: (stored, entry.revision)
    )


async def _used_move_ids(source: store.Store, peer: str):
    """Reads the ids of all moves that the move driver has recorded."""
    try:
        entry = await source.get(MOVES_KEY)
    except errors.StoreError as exc:
        return result.Err(exc)
    records = move_record.decode_all(entry.value) if entry else {}
    if records is None:
        return result.Err(
            errors.DocumentError(
                "moves.decode", peer, "the recorded moves are malformed"
            )
        )
    return result.Ok(frozenset(records))


def _check_move_ids(
    doc: document.Document,
    current: stored_config.StoredConfig | None,
    used: frozenset[str],
) -> tuple[problem.Problem, ...]:
    in_force = {item.id for item in current.doc.moves} if current else set()
    return tuple(
        problem.Problem(
            f"moves[{i}].id",
            f"id {item.id!r} was used for an earlier move; a new move needs a"
            " new id",
        )
        for i, item in enumerate(doc.moves)
        if item.id in used - in_force
    )


def _check_author(author: str) -> tuple[problem.Problem, ...]:
    if 0 < len(author) <= AUTHOR_MAX_CHARS and author.isprintable():
        return ()
    return (
        problem.Problem(
            "author",
            f"must be 1 to {AUTHOR_MAX_CHARS} printable characters",
        ),
    )

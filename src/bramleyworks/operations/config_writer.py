"""Writing a new document to the store."""

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

    There is one write at most. If its reply is lost, the value is read back up
    to ``READ_ATTEMPTS`` times and compared by ``apply_id``.

    Args:
        store: Where to write.
        doc: The document.
        base_version: Version from which the operator made the document, 0 if
            there was none.
        author: Operator who applies it.
        now_s: Unix time in seconds.
        apply_id: Random id of this apply; never reused.
        peer: Name of the store in errors.
        sleep: Waits between reads.

    Returns:
        The written configuration, or a subclass of ``ApplyError``.
    """
    started = await _read_with_retries(store, peer, sleep)
    if started.is_err():
        return _not_written(started.unwrap_err())
    current, revision = started.unwrap()
    version = current.version if current else 0
    if version != base_version:
        return result.Err(_stale_base(peer, base_version, current))
    # The stored bytes are those of a decoded document, so that every daemon
    # that encodes its configuration again gets the same bytes and digest.
    normal = codec.decode(codec.encode(doc), peer)
    if normal.is_err():
        return _not_written(normal.unwrap_err())
    doc = normal.unwrap()
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
    made = _next_config(current, doc, author, now_s, apply_id)
    try:
        await store.put(
            stored_config.CONFIG_KEY, codec.encode_stored(made), revision
        )
    except (errors.StoreConflictError, errors.StoreUnknownError) as exc:
        return await _resolve_outcome(store, made, exc, peer, sleep)
    except errors.StoreError as exc:
        return _not_written(exc)
    return result.Ok(made)


def find(
    current: stored_config.StoredConfig, apply_id: str
) -> history_entry.HistoryEntry | None:
    """Returns the change that an apply made, if the history still holds it."""
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
    tail = f" ... ({len(changes)} changes)"
    kept = line.encode()[: SUMMARY_MAX_BYTES - len(tail)]
    return kept.decode(errors="ignore") + tail


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
    made = stored_config.StoredConfig(
        version=version,
        apply_id=apply_id,
        author=author,
        time_s=float(now_s),
        doc=doc,
        history=history[: stored_config.HISTORY_LIMIT],
    )
    # Entries written by others may be longer than the margin allows for.
    while (
        len(codec.encode_stored(made)) > size_rules.STORE_VALUE_BYTES
        and len(made.history) > 1
    ):
        made = msgspec.structs.replace(made, history=made.history[:-1])
    return made


async def _resolve_outcome(
    source: store.Store,
    made: stored_config.StoredConfig,
    cause: errors.StoreError,
    peer: str,
    sleep: Sleep,
) -> ApplyResult:
    """Finds out by reading whether a write took effect."""
    lost = isinstance(cause, errors.StoreUnknownError)
    last = "the store could not be read"
    for attempt in range(READ_ATTEMPTS):
        if attempt:
            await sleep(READ_DELAY_S)
        answer = await read(source, peer)
        if answer.is_err():
            last = f"the last read failed: {answer.unwrap_err().reason}"
            continue
        current, _ = answer.unwrap()
        version = current.version if current else 0
        if current and (
            current.apply_id == made.apply_id or find(current, made.apply_id)
        ):
            return result.Ok(made)
        if version >= made.version:
            if _history_contains(current, made.version):
                return result.Err(_stale_base(peer, made.version - 1, current))
            last = f"version {version} is in force and its history is shorter"
            break
        if not lost:
            break
        # The write may still be on its way, so the base version alone does not
        # prove that it failed.
        last = f"version {version} was in force at the last read"
    if not lost:
        return _not_written(cause)
    return result.Err(
        apply_errors.OutcomeUnknownError(
            peer,
            f"the write of version {made.version} may have taken effect"
            f" ({last}); check with 'bramleyworks audit --apply-id"
            f" {made.apply_id}' before applying again",
            made.apply_id,
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
        answer = await read(source, peer)
        if answer.is_ok() or not isinstance(
            answer.unwrap_err(), errors.StoreError
        ):
            break
    return answer


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

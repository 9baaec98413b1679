"""Records the states of version moves in the store."""

import asyncio
from collections.abc import Callable

from absl import logging

from bramleyworks import errors
from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import heartbeat as heartbeat_module
from bramleyworks.gateway import move_state
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.platform import kv_store
from bramleyworks.platform import store_keys
from bramleyworks.platform import wire_move

# Additional delay of each further VM, so that usually only one writes.
STAGGER_S = 0.4
# Delay after an attempt to record a state.
RETRY_DELAY_S = 1.0


class MoveRecorder:
    """Records due states; VMs try in a fixed order until one succeeds."""

    def __init__(
        self,
        own_id: str,
        cluster: cluster_state_module.ClusterState,
        store: kv_store.KvStore,
        replica: store_replica_module.StoreReplica,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Initializes the recorder.

        Args:
            own_id: Name of this VM.
            cluster: State of moves.
            store: Client of the store.
            replica: What this VM knows of the store.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self._own_id = own_id
        self._cluster = cluster
        self._store = store
        self._replica = replica
        self._log = log
        self._clock = clock
        self._due_since: dict[tuple[str, move_state.MoveState], float] = {}
        self._tasks: set[asyncio.Task] = set()

    def record_due(self, heartbeats: list[heartbeat_module.Heartbeat]) -> None:
        """Starts to record the states that are due.

        Args:
            heartbeats: Latest heartbeats and summaries that cover all live
                peers.
        """
        due = self._cluster.moves.due_states(
            self._cluster.report_moves(),
            [heartbeat.moves for heartbeat in heartbeats],
            lambda service: self._replica.is_lost(_key(service)),
        )
        now_s = self._clock()
        names = sorted(
            [self._own_id, *(heartbeat.vm.id for heartbeat in heartbeats)]
        )
        delay_s = names.index(self._own_id) * STAGGER_S
        current = {}
        for service, state in due:
            since_s = self._due_since.get((service, state), now_s)
            if now_s - since_s >= delay_s:
                since_s = now_s + RETRY_DELAY_S
                task = asyncio.create_task(self._record(service, state))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            current[service, state] = since_s
        self._due_since = current

    def close(self) -> None:
        """Cancels pending writes."""
        for task in self._tasks:
            task.cancel()

    async def _record(self, service: str, state: move_state.MoveState) -> None:
        key = _key(service)
        try:
            await self._store.put(
                key,
                wire_move.encode_state(service, state),
                self._replica.stored_revision(key),
            )
        except errors.StoreError as exc:
            logging.info(
                "state of the move of %s not recorded: %s", service, exc
            )
            return
        self._log.write(
            "move.recorded",
            service=service,
            to_version=state.to_version,
            phase=state.phase.value,
        )


def _key(service: str) -> str:
    return store_keys.MOVE_STATES + service

"""Detects that upstreams end, and which requests they were running."""

import asyncio
import zlib
from collections.abc import Callable
from collections.abc import Iterable

from bramleyworks.gateway import event_log
from bramleyworks.gateway import registry as registry_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import quarantine as quarantine_module
from bramleyworks.policy import rendezvous

# An upstream that crashes may still accept connections for a moment.
CHECK_DELAYS_S = (0.0, 0.1, 0.3)


class CrashDetector:
    """Blames requests for the upstreams that ended while they ran them.

    A connection may also break because of the network, a timeout or a planned
    stop. An upstream has ended if its connection broke during a request, it
    refuses new ones, and it had not announced that it leaves.

    Attributes:
        quarantine: Requests that are blamed.
    """

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        vm_id: str,
        registry: registry_module.Registry,
        known_vms: Callable[[], Iterable[str]],
        notify_peers: Callable[[], None],
        log: event_log.EventLog,
    ):
        """Initializes the detector.

        Args:
            quarantine: Requests that are blamed.
            vm_id: Name of this VM.
            registry: Upstreams.
            known_vms: Returns the names of the known VMs.
            notify_peers: Sends the next heartbeat early.
            log: Event log.
        """
        self.quarantine = quarantine
        self._vm_id = vm_id
        self._registry = registry
        self._known_vms = known_vms
        self._notify_peers = notify_peers
        self._log = log
        self._tasks: set[asyncio.Task] = set()
        # Fingerprints of the requests that wait for the check of an upstream.
        self._waiting: dict[upstream_module.Upstream, set[str]] = {}

    def close(self) -> None:
        """Cancels checks that are in progress."""
        for task in self._tasks:
            task.cancel()

    def record_lost_connection(
        self, upstream: upstream_module.Upstream, fingerprint: str
    ) -> None:
        """Checks an upstream whose connection broke during a request."""
        waiting = self._waiting.get(upstream)
        if waiting is not None:
            waiting.add(fingerprint)
            return
        self._waiting[upstream] = {fingerprint}
        task = asyncio.create_task(self._check(upstream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_response(self, fingerprint: str) -> None:
        """Clears a request that an upstream responded to."""
        entry = self.quarantine.get(fingerprint)
        if not self.quarantine.record_response(fingerprint):
            return
        self._notify_peers()
        if entry.is_quarantined:
            self._log.write(
                "quarantine.ended", fingerprint=fingerprint, trials=entry.trials
            )

    def may_try(self, fingerprint: str) -> bool:
        """Returns whether this VM may send a quarantined request as a trial.

        Only the VM that comes first for the request may, so that VMs that do
        not hear each other do not all try.
        """
        ranked = rendezvous.rank(fingerprint, {self._vm_id, *self._known_vms()})
        if ranked[0] != self._vm_id:
            return False
        if not self.quarantine.start_trial(fingerprint):
            return False
        self._notify_peers()
        self._log.write("quarantine.trial", fingerprint=fingerprint)
        return True

    async def _check(self, upstream: upstream_module.Upstream) -> None:
        instance = upstream.instance
        try:
            for delay_s in CHECK_DELAYS_S:
                await asyncio.sleep(delay_s)
                if await upstream.refuses_connections():
                    break
            else:
                return
        finally:
            fingerprints = self._waiting.pop(upstream)
        current = self._registry.get(instance.id)
        if (
            current is None
            or current.instance.is_draining
            or current.is_leaving
            or current.instance.started_ms != instance.started_ms
        ):
            return
        upstream.record_crash()
        self._log.write(
            "upstream.ended",
            upstream=instance.id,
            service=instance.service,
            fingerprints=sorted(fingerprints),
        )
        key = zlib.crc32(f"{instance.id}\0{instance.started_ms}".encode())
        for fingerprint in fingerprints:
            before = self.quarantine.get(fingerprint)
            entry = self.quarantine.record_end(fingerprint, key)
            if entry.is_quarantined and not (before and before.is_quarantined):
                self._log.write(
                    "quarantine.started",
                    fingerprint=fingerprint,
                    upstreams=entry.blame,
                )
        self._notify_peers()

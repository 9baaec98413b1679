"""Detects that upstreams end, and which requests they were running."""

import asyncio
import time
import zlib
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from bramleyworks.gateway import event_log
from bramleyworks.gateway import registry as registry_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.policy import quarantine as quarantine_module
from bramleyworks.policy import rendezvous

# An upstream that crashes may still accept connections for a moment.
CHECK_DELAYS_S = (0.0, 0.1, 0.3)
# Time in which other VMs tell whether upstreams respond to them, while none
# responds to this VM. It covers two heartbeats.
PEER_CONTACT_WAIT_S = 0.6


class CrashDetector:
    """Blames requests for the upstreams that ended while they ran them.

    A connection may also break because of the network, a timeout or a planned
    stop. An upstream has ended if its connection broke during a request, it
    refuses new ones, and it had not announced that it leaves. If no other
    upstream responds either, the links of this VM may be down: then it has
    ended only if other VMs reach none as well.

    Attributes:
        quarantine: Requests that are blamed.
    """

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        vm_id: str,
        registry: registry_module.Registry,
        probe_others: Callable[[], Awaitable[bool | None]],
        peer_contact_age_s: Callable[[], float],
        known_vms: Callable[[], Iterable[str]],
        notify_peers: Callable[[], None],
        log: event_log.EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes the detector.

        Args:
            quarantine: Requests that are blamed.
            vm_id: Name of this VM.
            registry: Upstreams.
            probe_others: Returns whether any upstream responds to this VM,
                None if there is none to ask.
            peer_contact_age_s: Returns the seconds since an upstream last
                responded to another VM.
            known_vms: Returns the names of the known VMs.
            notify_peers: Sends the next heartbeat early.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self.quarantine = quarantine
        self._vm_id = vm_id
        self._registry = registry
        self._probe_others = probe_others
        self._peer_contact_age_s = peer_contact_age_s
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
        lost_s = self._clock()
        try:
            has_ended = await self._has_ended(upstream)
        finally:
            fingerprints = self._waiting.pop(upstream)
        if not has_ended:
            return
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
            self._blame(fingerprint, key)
        self._notify_peers()
        await asyncio.sleep(PEER_CONTACT_WAIT_S)
        if upstream.report_since(lost_s, own_only=False) is not None:
            self._withdraw(upstream, fingerprints, key)

    async def _has_ended(self, upstream: upstream_module.Upstream) -> bool:
        """Returns whether an upstream has ended, as far as this VM can tell."""
        for delay_s in CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            if await upstream.refuses_connections():
                break
        else:
            return False
        if not await self._is_cut_off():
            return True
        self._log.write(
            "upstream.unreachable",
            upstream=upstream.instance.id,
            service=upstream.instance.service,
        )
        return False

    async def _is_cut_off(self) -> bool:
        """Returns whether the links of this VM are down, not an upstream."""
        if await self._probe_others():
            return False
        await asyncio.sleep(PEER_CONTACT_WAIT_S)
        return self._peer_contact_age_s() < PEER_CONTACT_WAIT_S

    def _blame(self, fingerprint: str, key: int) -> None:
        """Blames a request for the end of an upstream."""
        before = self.quarantine.get(fingerprint)
        entry = self.quarantine.record_end(fingerprint, key)
        if entry.is_quarantined and not (before and before.is_quarantined):
            self._log.write(
                "quarantine.started",
                fingerprint=fingerprint,
                upstreams=entry.blame,
            )

    def _withdraw(
        self,
        upstream: upstream_module.Upstream,
        fingerprints: set[str],
        key: int,
    ) -> None:
        """Withdraws the end of an upstream that responds to another VM."""
        self._log.write(
            "upstream.unreachable",
            upstream=upstream.instance.id,
            service=upstream.instance.service,
        )
        for fingerprint in fingerprints:
            self.quarantine.withdraw_end(fingerprint, key)
        self._notify_peers()

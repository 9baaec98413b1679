"""The program of an entry VM: its parts, their start and their stop."""

import asyncio
import contextlib
import signal
import socket
import time

from absl import logging

from bramleyworks.daemon import metrics as metrics_module
from bramleyworks.daemon import server as server_module
from bramleyworks.gateway import beat as beat_module
from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import control_app
from bramleyworks.gateway import directory as directory_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import exchange
from bramleyworks.gateway import front_server
from bramleyworks.gateway import mirror as mirror_module
from bramleyworks.gateway import move_recorder
from bramleyworks.gateway import peers as peers_module
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import registration as registration_module
from bramleyworks.gateway import retry_budget
from bramleyworks.gateway import settings as settings_module
from bramleyworks.gateway import state_report
from bramleyworks.gateway import store_copy
from bramleyworks.gateway import store_sync
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import entry_app
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_store
from bramleyworks.platform import wire_updates

# Time between two looks at demand, shares and moves.
TICK_S = 0.2
# Time for which callers may keep a look-up; a VM that stops serves this long.
LOOKUP_TTL_S = 2.0
# Parts of the time to stop: callers learn of it first, then connections end.
STOP_CLOSE_IDLE_S = 0.5
STOP_LISTEN_S = 2.5
# Time kept for the end of the process itself.
STOP_MARGIN_S = 0.7


class Gateway:
    """Owns all parts of one entry VM."""

    def __init__(
        self, settings: settings_module.Settings, log: event_log.EventLog
    ):
        """Builds the parts without opening anything.

        Args:
            settings: Checked settings.
            log: Log of decisions.
        """
        clock = time.monotonic
        self._cfg = settings
        self._log = log
        self._clock = clock
        self._stack = contextlib.AsyncExitStack()
        self._stopping = asyncio.Event()
        self._is_stopping = False
        self._own = vm_module.Vm(
            id=settings.vm_id,
            incarnation=int(time.time() * 1000),
            region=settings.region,
            failure_domain=settings.failure_domain,
            entry=settings.entry,
            control=settings.control,
            peer=f"{settings.ip}:{settings.first_port}",
            link_mbps=settings.link_mbps,
        )
        self._world = cluster_state_module.ClusterState(
            settings.region, settings.regions, log, clock
        )
        self._mirror = mirror_module.Mirror(self._take)
        self._store = kv_store.KvStore(settings.store)
        self._peers = peers_module.Peers(
            self._own,
            self._beat,
            lambda: self._world.vms,
            self._world.registry,
            [
                f"{address.rpartition(':')[0]}:{settings.first_port}"
                for address in settings.seeds
            ],
            clock,
        )
        self._sync = store_sync.StoreSync(
            settings.vm_id,
            self._store,
            self._mirror,
            self._peers,
            self._seed_controls,
            log,
            clock,
        )
        self._registration = registration_module.Registration(
            self._store, self._own
        )
        self._traffic = traffic_module.Traffic(
            settings.region, settings.max_shift, clock
        )
        self._quotas = quotas_module.Quotas(
            settings.quota_window_s,
            settings.quota_over,
            settings.quota_slack,
            clock,
        )
        self._budget = retry_budget.RetryBudget(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
            clock,
        )
        self._metrics = metrics_module.Metrics()
        self._exchanges = exchange.Exchanges(
            settings.region,
            self._world,
            self._traffic,
            self._quotas,
            self._budget,
            self._vms_in,
            self._metrics.record_response,
            log,
            clock,
        )
        self._front = front_server.FrontServer(
            self._exchanges.start, self._world.limits, clock
        )
        self._copies = store_copy.CopySource(self._mirror)
        self._directory = directory_module.Directory(
            self._own,
            self._is_ready,
            self._peers.entries,
            lambda: self._world.vms,
        )
        self._loads_sent_s = clock()
        self._recorder = move_recorder.MoveRecorder(
            settings.vm_id, self._world, self._store, log, clock
        )

    async def run(self) -> None:
        """Serves until a signal asks to stop, then stops gracefully."""
        self._log.write(
            "start",
            region=self._cfg.region,
            failure_domain=self._cfg.failure_domain,
            incarnation=self._own.incarnation,
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        async with self._stack:
            await self._open()
            await self._stopping.wait()
            await self._stop()
        self._log.write("stopped", running=self._exchanges.running)
        self._log.flush()

    def reload(self, settings: settings_module.Settings) -> None:
        """Takes changed settings that need no new sockets."""
        self._cfg = settings
        self._budget.configure(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
        )
        self._traffic.configure(settings.max_shift)
        self._quotas.configure(
            settings.quota_window_s, settings.quota_over, settings.quota_slack
        )
        self._log.write("reload", vm_settings="in force")

    async def _open(self) -> None:
        stack = self._stack
        await self._store.open()
        stack.push_async_callback(self._store.close)
        stack.callback(self._recorder.close)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._peers,
            local_addr=(self._cfg.ip, self._cfg.first_port),
        )
        stack.callback(transport.close)
        await self._front.open(self._cfg.entry)
        stack.push_async_callback(self._front.close)
        await self._open_http()
        for work in (
            self._sync.run(),
            self._registration.run(),
            self._peers.run(),
            self._front.run(),
            self._tick_forever(),
            state_report.run(
                self._world,
                self._traffic,
                self._exchanges,
                self._peers,
                self._mirror,
                self._sync,
                self._log,
            ),
            self._flush_forever(),
        ):
            task = asyncio.create_task(work)
            task.add_done_callback(self._check_task)
            stack.callback(task.cancel)

    async def _open_http(self) -> None:
        """Opens all HTTP interfaces beside the request path in one server."""
        directory = entry_app.create_directory_app(
            self._directory.look_up,
            min(LOOKUP_TTL_S, self._cfg.lookup_ttl_s),
        )
        apps = {
            self._cfg.ready: entry_app.create_readiness_app(self._is_ready),
            self._cfg.control: control_app.create_control(self._copy),
            f"{self._cfg.ip}:{self._cfg.metrics_port}": (
                control_app.create_metrics(self._metrics.render)
            ),
        }
        if self._cfg.directory:
            apps[self._cfg.directory] = directory
        sockets = [self._listen(address) for address in apps]
        by_port = {
            int(address.rpartition(":")[2]): app
            for address, app in apps.items()
        }
        server = server_module.Server(
            control_app.PortSwitch(by_port), self._cfg.control
        )
        task = asyncio.create_task(server.serve(sockets=sockets))
        task.add_done_callback(self._check_task)
        self._stack.callback(task.cancel)

    def _listen(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(":")
        sock = socket.create_server((host, int(port)), backlog=256)
        self._stack.callback(sock.close)
        return sock

    def _check_task(self, task: asyncio.Task) -> None:
        """Ends the process when a part of it has failed."""
        if task.cancelled() or self._is_stopping:
            return
        exc = task.exception()
        self._log.write("task.failed", error=repr(exc))
        logging.error("a task ended: %r", exc, exc_info=exc)
        self._stopping.set()

    async def _stop(self) -> None:
        """Lets callers go elsewhere while running requests end."""
        self._is_stopping = True
        began_s = self._clock()
        limit_s = began_s + self._cfg.grace_s - STOP_MARGIN_S
        self._log.write("stop", running=self._exchanges.running)
        self._exchanges.is_draining = True
        self._peers.send()
        # A store that does not answer must not hold up the stop.
        withdrawal = asyncio.create_task(self._registration.withdraw())
        self._stack.callback(withdrawal.cancel)
        closed = listening = False
        while True:
            now_s = self._clock()
            if not closed and now_s - began_s >= STOP_CLOSE_IDLE_S:
                closed = True
                self._front.drain()
            if listening is False and now_s - began_s >= STOP_LISTEN_S:
                listening = True
                self._front.stop_listening()
            if listening and (not self._front.busy_conns or now_s >= limit_s):
                return
            await asyncio.sleep(0.05)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._tick()

    async def _flush_forever(self) -> None:
        while True:
            await asyncio.sleep(event_log.FLUSH_S)
            self._log.flush()

    def _tick(self) -> None:
        beats = self._peers.sources()
        in_flight: dict[str, float] = {}
        for beat in beats:
            for name, count in beat.in_flight.items():
                in_flight[name] = in_flight.get(name, 0.0) + count
        for upstream in self._world.registry.all():
            upstream.peers_in_flight = in_flight.get(upstream.instance.id, 0.0)
            upstream.close_idle()
        intent = self._world.config
        if intent is not None:
            self._quotas.prepare(intent.organisations.values())
        self._quotas.update_peers(
            {f"{b.vm.id} {b.vm.incarnation}": b.use for b in beats},
            self._silent(beats),
            self._peers.lag_s,
        )
        self._traffic.update(
            intent.services if intent else (),
            lambda service: self._regional(service, beats),
            lambda service: self._world.registry.capacity(
                service, self._world.eligible_versions(service)
            ),
            self._vms_in(None),
        )
        self._world.moves.merge([b.moves for b in beats])
        self._recorder.record_due(beats)

    def _regional(
        self, service: str, beats: list[beat_module.Beat]
    ) -> dict[str, float]:
        """Returns the demand of each region without that of this VM."""
        demand: dict[str, float] = {}
        for beat in beats:
            region = beat.vm.region
            added = beat.demand.get(service, 0.0)
            demand[region] = demand.get(region, 0.0) + added
        return demand

    def _take(self, item: kv_item.KvItem) -> None:
        self._peers.tell_news()
        fact = wire_updates.decode(item)
        if fact is not None:
            self._world.take(fact)

    def _is_ready(self) -> bool:
        return self._world.config is not None and not self._is_stopping

    def _copy(self, after: int) -> bytes | None:
        if not self._sync.has_state:
            return None
        return self._copies.encode(after)

    def _vms_in(self, region: str | None) -> int:
        """Returns the VMs of a region to reckon with, of all for None."""
        known = {self._own.id: self._own.region}
        known.update((vm.id, vm.region) for vm in self._world.vms.values())
        known.update(
            (name, found) for name, (found, _) in self._peers.entries().items()
        )
        if region is None:
            return len(known)
        return sum(1 for found in known.values() if found == region)

    def _silent(self, beats: list[beat_module.Beat]) -> int:
        """Returns the known VMs that no heartbeat speaks for."""
        heard = 1 + sum(max(1, beat.speaks_for) for beat in beats)
        return max(0, self._vms_in(None) - heard)

    def _seed_controls(self) -> list[str]:
        found = [vm.control for vm in self._world.vms.values()]
        found.extend(self._cfg.seeds)
        return [a for a in found if a != self._own.control]

    def _beat(self, number: int) -> beat_module.Beat:
        return beat_module.Beat(
            vm=self._own,
            number=number,
            is_ready=self._is_ready(),
            revision=self._mirror.revision,
            demand=self._traffic.demand(),
            store_age_s=round(self._sync.age_s, 2),
            use=self._quotas.usage(),
            in_flight={
                u.instance.id: u.in_flight
                for u in self._world.registry.all()
                if u.in_flight
            },
            moves=self._world.report_moves(),
            loads=self._told_loads(),
        )

    def _told_loads(self) -> dict[str, tuple[int, int]]:
        """Returns the loads told since the last heartbeat."""
        since_s, self._loads_sent_s = self._loads_sent_s, self._clock()
        return self._world.registry.load_reports(since_s)

"""The entry VM: creates, starts and stops its components."""

import asyncio
import collections
import contextlib
import dataclasses
import signal
import socket
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from absl import logging

from bramleyworks.daemon import metrics as metrics_module
from bramleyworks.daemon import server as server_module
from bramleyworks.gateway import client_accounts
from bramleyworks.gateway import client_metrics
from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import control_app
from bramleyworks.gateway import crash_detector
from bramleyworks.gateway import directory as directory_module
from bramleyworks.gateway import duties as duties_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import exchange
from bramleyworks.gateway import front_server
from bramleyworks.gateway import heartbeat as heartbeat_module
from bramleyworks.gateway import isolation as isolation_module
from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import load_metrics
from bramleyworks.gateway import move_recorder
from bramleyworks.gateway import peers as peers_module
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import region_metrics
from bramleyworks.gateway import region_report
from bramleyworks.gateway import registration as registration_module
from bramleyworks.gateway import removal_grace
from bramleyworks.gateway import replica_update
from bramleyworks.gateway import retry_budget
from bramleyworks.gateway import service_pressure
from bramleyworks.gateway import settings as settings_module
from bramleyworks.gateway import side_conn
from bramleyworks.gateway import state_report
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.gateway import store_sync
from bramleyworks.gateway import traffic as traffic_module
from bramleyworks.gateway import turn_scheduler
from bramleyworks.gateway import uneven_service
from bramleyworks.gateway import upload_metrics
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import entry_app
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_position
from bramleyworks.platform import kv_store
from bramleyworks.platform import wire_updates
from bramleyworks.policy import client_ledger
from bramleyworks.policy import isolation as isolation_policy
from bramleyworks.policy import quarantine as quarantine_module
from bramleyworks.policy import upload_budget

# Interval at which limits and moves are updated.
TICK_INTERVAL_S = 0.2
# Ticks between two updates that go through all upstreams: loads, demand and
# shares. In a large fleet heartbeats are further apart than this anyway.
TICKS_PER_SURVEY = 3
# Longest time for which callers may cache a look-up. A stopping VM keeps
# accepting connections for longer than this.
LOOKUP_TTL_S = 2.0
# Delays of the steps of a stop. Callers learn first that the VM is not ready,
# then idle connections are closed, then the listening socket.
STOP_IDLE_CLOSE_DELAY_S = 0.5
STOP_LISTEN_DELAY_S = 2.5
# Delay before a background task that failed is started again.
TASK_RESTART_DELAY_S = 0.5
# Room for the fields that VMs add to the heads of requests they pass on.
PROXIED_HEADER_BYTES = 256
# Other VMs close their connections long before this.
PEER_IDLE_TIMEOUT_S = 60.0
# Part of the grace period that is reserved for the end of the process.
STOP_MARGIN_S = 0.7


class Gateway:
    """Owns all components of one entry VM."""

    def __init__(
        self, settings: settings_module.Settings, log: event_log.EventLog
    ):
        """Creates the components without opening sockets.

        Args:
            settings: Checked settings.
            log: Event log.
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
        self._cluster = cluster_state_module.ClusterState(
            settings.region, settings.regions, log, clock
        )
        self._removals = removal_grace.RemovalGrace(
            self._apply_change, log, clock
        )
        self._replica = store_replica_module.StoreReplica(
            self._apply_item, wire_updates.compare
        )
        self._store = kv_store.KvStore(settings.store)
        self._quarantine = quarantine_module.Quarantine(clock)
        self._peers = peers_module.Peers(
            self._own,
            self._build_heartbeat,
            lambda: self._cluster.vms,
            self._cluster.registry,
            self._quarantine,
            [
                f"{address.rpartition(':')[0]}:{settings.first_port}"
                for address in settings.seeds
            ],
            clock,
        )
        self._sync = store_sync.StoreSync(
            settings.vm_id,
            self._store,
            self._replica,
            self._removals,
            self._peers,
            self._seed_controls,
            self._config_version,
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
        self._isolation = isolation_module.Isolation(
            self._cluster, self._peers.request_send, log, clock
        )
        self._crashes = crash_detector.CrashDetector(
            self._quarantine,
            settings.vm_id,
            self._cluster.registry,
            self._isolation.probe,
            self._peers.contact_age_s,
            self._known_vms,
            self._peers.request_send,
            log,
        )
        self._metrics = metrics_module.Metrics()
        self._metrics.add_collector(
            lambda: region_metrics.collect(self._traffic)
        )
        self._metrics.add_collector(
            lambda: load_metrics.collect(self._cluster.registry)
        )
        self._pressure = service_pressure.ServicePressure(
            settings.region, self._metrics.record_load_shed, clock
        )
        self._uploads = upload_budget.UploadBudget(
            settings.ram_mb, settings.link_mbps, clock
        )
        self._metrics.add_collector(
            lambda: upload_metrics.collect(self._uploads)
        )
        self._duties = duties_module.create(
            settings,
            self._own,
            self._store,
            self._replica,
            self._cluster,
            self._peers,
            log,
            clock,
        )
        self._exchanges = exchange.Exchanges(
            settings.region,
            self._cluster,
            self._traffic,
            self._quotas,
            self._budget,
            self._pressure,
            self._crashes,
            self._isolation,
            self._proxy_peers,
            self._peers.is_live,
            settings.ip,
            self._known_vm_count,
            self._metrics.record_response,
            log,
            clock,
            self._uploads,
            self._duties.meter if self._duties else None,
        )
        self._clients = client_accounts.ClientAccounts(
            _client_bounds(settings),
            turn_scheduler.TurnScheduler(
                settings.client_work, settings.turn_work
            ),
            log,
            clock,
        )
        self._metrics.add_collector(
            client_metrics.ClientMetrics(self._clients).collect
        )
        self._front = front_server.FrontServer(
            self._exchanges.start,
            self._cluster.limits,
            clock,
            accounts=self._clients,
        )
        self._peer_front = front_server.FrontServer(
            self._exchanges.start_proxied,
            self._peer_limits,
            clock,
            lambda host: host in self._peers.hosts(),
            self._clients,
            client_ledger.PEERS,
        )
        self._replica_encoder = replica_update.ReplicaUpdateEncoder(
            self._replica
        )
        self._directory = directory_module.Directory(
            self._own,
            self._is_ready,
            self._peers.entry_addresses,
            self._reach,
            lambda: self._cluster.vms,
        )
        self._loads_sent_s = clock()
        self._recorder = move_recorder.MoveRecorder(
            settings.vm_id,
            self._cluster,
            self._store,
            self._replica,
            log,
            clock,
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then stops gracefully."""
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
        """Applies the changed settings that need no new sockets."""
        self._cfg = settings
        self._budget.configure(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
        )
        self._traffic.configure(settings.max_shift)
        self._uploads.configure(settings.ram_mb, settings.link_mbps)
        self._quotas.configure(
            settings.quota_window_s, settings.quota_over, settings.quota_slack
        )
        self._clients.configure(_client_bounds(settings))
        self._clients.scheduler.configure(
            settings.client_work, settings.turn_work
        )
        self._log.write("reload", vm_settings="in force")

    async def _open(self) -> None:
        stack = self._stack
        await self._store.open()
        stack.push_async_callback(self._store.close)
        stack.callback(self._recorder.close)
        stack.callback(self._isolation.close)
        stack.callback(self._crashes.close)
        stack.callback(self._exchanges.close)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._peers,
            local_addr=(self._cfg.ip, self._cfg.first_port),
        )
        stack.callback(transport.close)
        await self._front.open(self._cfg.entry)
        stack.push_async_callback(self._front.close)
        await self._peer_front.open(self._own.peer)
        stack.push_async_callback(self._peer_front.close)
        await self._open_http()
        duty_runs = ()
        if self._duties:
            await self._duties.open()
            stack.push_async_callback(self._duties.close)
            self._metrics.add_collector(self._duties.collect)
            duty_runs = self._duties.runs
        for run in (
            *duty_runs,
            self._sync.run,
            self._registration.run,
            self._peers.run,
            self._front.run,
            self._peer_front.run,
            self._side_conns.run,
            self._run_ticks,
            self._run_state_reports,
            self._run_flushes,
        ):
            task = asyncio.create_task(self._supervise(run))
            stack.callback(task.cancel)

    async def _run_state_reports(self) -> None:
        await state_report.run(
            self._cluster,
            self._traffic,
            self._exchanges,
            self._pressure,
            self._peers,
            self._replica,
            self._sync,
            self._isolation,
            self._log,
        )

    async def _supervise(self, run: Callable[[], Awaitable[None]]) -> None:
        """Runs a background task, and again after an unexpected error.

        Requests are served meanwhile from what is known.
        """
        while True:
            try:
                await run()
                return
            except Exception as exc:
                self._log.write("task.failed", error=repr(exc))
                logging.exception("background task failed, started again")
            await asyncio.sleep(TASK_RESTART_DELAY_S)

    async def _open_http(self) -> None:
        """Opens all HTTP interfaces except the request path in one server."""
        directory = entry_app.create_directory_app(
            self._directory.look_up,
            min(LOOKUP_TTL_S, self._cfg.lookup_ttl_s),
        )
        apps = {
            self._cfg.ready: entry_app.create_readiness_app(self._is_ready),
            self._cfg.control: control_app.create_control_app(
                self._encode_update,
                self._duties.receive if self._duties else None,
            ),
            f"{self._cfg.ip}:{self._cfg.metrics_port}": (
                control_app.create_metrics_app(self._metrics.render)
            ),
        }
        if self._cfg.directory:
            apps[self._cfg.directory] = directory
        self._side_conns = side_conn.SideConns(
            {
                int(address.rpartition(":")[2]): name
                for name, address in (
                    ("ready", self._cfg.ready),
                    ("control", self._cfg.control),
                    ("directory", self._cfg.directory),
                    ("metrics", f":{self._cfg.metrics_port}"),
                )
                if address
            },
            self._cluster.limits,
            self._clients,
            self._clock,
        )
        sockets = [self._listen(address) for address in apps]
        by_port = {
            int(address.rpartition(":")[2]): app
            for address, app in apps.items()
        }
        server = server_module.Server(
            control_app.PortDispatcher(by_port),
            self._cfg.control,
            self._side_conns.create,
        )
        task = asyncio.create_task(server.serve(sockets=sockets))
        task.add_done_callback(self._check_server)
        self._stack.callback(task.cancel)

    def _listen(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(":")
        sock = socket.create_server((host, int(port)), backlog=256)
        self._stack.callback(sock.close)
        return sock

    def _check_server(self, task: asyncio.Task) -> None:
        """Stops the process when the HTTP interfaces have failed."""
        if task.cancelled() or self._is_stopping:
            return
        exc = task.exception()
        self._log.write("task.failed", error=repr(exc))
        logging.error("HTTP server ended: %r", exc, exc_info=exc)
        self._stopping.set()

    async def _stop(self) -> None:
        """Drains: callers switch to other VMs while requests finish."""
        self._is_stopping = True
        started_s = self._clock()
        deadline_s = started_s + self._cfg.grace_s - STOP_MARGIN_S
        self._log.write("stop", running=self._exchanges.running)
        self._exchanges.is_draining = True
        self._exchanges.ends_s = deadline_s
        self._peers.send()
        # A store that does not respond must not delay the stop.
        withdrawal = asyncio.create_task(self._registration.withdraw())
        self._stack.callback(withdrawal.cancel)
        if self._duties:
            handover = asyncio.create_task(self._duties.hand_over())
            self._stack.callback(handover.cancel)
        is_idle_closed = is_listening_stopped = False
        while True:
            now_s = self._clock()
            if (
                not is_idle_closed
                and now_s - started_s >= STOP_IDLE_CLOSE_DELAY_S
            ):
                is_idle_closed = True
                self._front.drain()
            if (
                is_listening_stopped is False
                and now_s - started_s >= STOP_LISTEN_DELAY_S
            ):
                is_listening_stopped = True
                self._front.stop_listening()
                # Connections that came since the first time.
                self._front.drain()
            busy_conns = self._front.busy_conns + self._peer_front.busy_conns
            if is_listening_stopped and (not busy_conns or now_s >= deadline_s):
                if self._duties:
                    await self._duties.flush()
                return
            await asyncio.sleep(0.05)

    async def _run_ticks(self) -> None:
        ticks = 0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            heartbeats = self._peers.live_heartbeats()
            vms = self._known_vms()
            vm_count = len(vms)
            self._cluster.registry.rate_limits.update_vms(self._own.id, vms)
            self._update_limits(heartbeats, vm_count)
            self._isolation.check()
            # A watch of the store ends late, and removals have to be in force
            # half a second after their delay.
            self._removals.settle()
            ticks += 1
            if self._peers.is_full_mesh or ticks % TICKS_PER_SURVEY == 0:
                self._survey_upstreams(heartbeats, vms)

    async def _run_flushes(self) -> None:
        while True:
            await asyncio.sleep(event_log.FLUSH_INTERVAL_S)
            self._log.flush()

    def _update_limits(
        self, heartbeats: list[heartbeat_module.Heartbeat], vm_count: int
    ) -> None:
        """Updates the limits of organisations and the states of moves."""
        config = self._cluster.config
        if config is not None:
            self._quotas.prepare(config.organisations)
        covered = 1 + sum(
            max(1, heartbeat.covered_vms) for heartbeat in heartbeats
        )
        sources = {
            _usage_source(b): f"{b.vm.id} {b.vm.incarnation}"
            for b in heartbeats
        }
        self._quotas.update_peers(
            {_usage_source(b): b.usage for b in heartbeats},
            max(0, vm_count - covered),
            self._peers.propagation_s,
            sources,
            covered - 1,
        )
        self._cluster.moves.merge_reports(
            [b.moves for b in heartbeats], min(1.0, covered / max(1, vm_count))
        )
        self._recorder.record_due(heartbeats)

    def _survey_upstreams(
        self, heartbeats: list[heartbeat_module.Heartbeat], vms: dict[str, str]
    ) -> None:
        """Updates the loads of upstreams and the shares of regions."""
        in_flight: dict[str, float] = {}
        for heartbeat in heartbeats:
            for name, count in heartbeat.in_flight.items():
                in_flight[name] = in_flight.get(name, 0.0) + count
        for upstream in self._cluster.registry.all():
            upstream.peers_in_flight = in_flight.get(upstream.instance.id, 0.0)
            upstream.close_idle()
        registry = self._cluster.registry
        self._pressure.update(
            {
                service: registry.busy_share(
                    service, self._cluster.eligible_versions(service)
                )
                for service in registry.services
                if self._sheds_by_rank(service)
            },
            [(b.vm.region, b.pressure) for b in heartbeats],
        )
        self._metrics.set_pressures(self._pressure.pressures())
        registry.forget_limits()
        self._cluster.settle_base_versions()
        if not self._isolation.is_settled:
            # The upstreams that this VM can use tell of its links.
            return
        config = self._cluster.config
        self._traffic.update(
            config.services if config else (),
            lambda service: self._peer_demand(service, heartbeats),
            lambda service: self._cluster.registry.capacity(
                service,
                self._cluster.eligible_versions(service),
                self._traffic.mean_work_s(service),
            ),
            len(vms),
            lambda service, slots: self._fleet(service, slots, heartbeats, vms),
        )

    def _sheds_by_rank(self, service: str) -> bool:
        """Returns whether requests to a service may be refused by rank."""
        setting = self._cfg.shed_by_rank
        return setting == settings_module.SHED_ALWAYS or (
            setting == settings_module.SHED_UNEVEN
            and self._traffic.is_uneven(service)
        )

    def _fleet(
        self,
        service: str,
        slots: Mapping[str, float],
        heartbeats: list[heartbeat_module.Heartbeat],
        vms: dict[str, str],
    ) -> uneven_service.Fleet:
        """Returns what is known of the fleet for a service."""
        by_region: dict[str, list[region_report.RegionReport]] = {}
        for heartbeat in heartbeats:
            report = heartbeat.regions.get(service)
            if report is not None:
                by_region.setdefault(heartbeat.vm.region, []).append(report)
        return uneven_service.Fleet(
            vms=collections.Counter(vms.values()),
            has_other_regions=any(
                heartbeat.vm.region != self._own.region
                for heartbeat in heartbeats
            ),
            reports={
                region: merged
                for region, reports in by_region.items()
                if (merged := region_report.merge(reports)) is not None
            },
            demand=self._peer_demand(service, heartbeats),
            slots=slots,
            rtt_s={
                region: self._cluster.registry.rtt_s(region) for region in slots
            },
        )

    def _peer_demand(
        self, service: str, heartbeats: list[heartbeat_module.Heartbeat]
    ) -> dict[str, float]:
        """Returns the demand of peers for a service by region, in slots."""
        demand: dict[str, float] = {}
        for heartbeat in heartbeats:
            region = heartbeat.vm.region
            added = heartbeat.demand.get(service, 0.0)
            demand[region] = demand.get(region, 0.0) + added
        return demand

    def _apply_item(self, item: kv_item.KvItem) -> None:
        self._peers.request_send()
        self._removals.apply(item)

    def _apply_change(self, item: kv_item.KvItem) -> None:
        update = wire_updates.decode(item)
        if update is not None:
            self._cluster.apply(update)

    def _peer_limits(self) -> limits_module.Limits:
        """Returns the limits on requests of other VMs."""
        return dataclasses.replace(
            self._cluster.limits(),
            header_bytes=self._cluster.limits().header_bytes
            + PROXIED_HEADER_BYTES,
            idle_timeout_s=PEER_IDLE_TIMEOUT_S,
        )

    def _proxy_peers(self, service: str) -> list[isolation_policy.Peer]:
        """Returns the VMs that may send requests to a service for this one."""
        return self._peers.proxy_peers(service, self._config_version())

    def _reach(self) -> dict[str, isolation_policy.Reach]:
        """Returns whether this VM and its peers reach upstreams, by id."""
        ages = self._isolation.contact_ages()
        own = isolation_policy.reach_of(
            min(ages.values(), default=None), self._isolation.is_isolated
        )
        return self._peers.reach() | {self._own.id: own}

    def _is_ready(self) -> bool:
        return self._cluster.config is not None and not self._is_stopping

    def _encode_update(self, after: kv_position.Position) -> bytes | None:
        if not self._sync.has_data:
            return None
        return self._replica_encoder.encode(after)

    def _config_version(self) -> int:
        """Returns the version of the configuration in force, 0 for none."""
        config = self._cluster.config
        return config.version if config is not None else 0

    def _known_vms(self) -> dict[str, str]:
        """Returns the region of each known VM, including this one, by id.

        They include registered VMs of which no heartbeat was received.
        """
        known = {self._own.id: self._own.region}
        known.update((vm.id, vm.region) for vm in self._cluster.vms.values())
        known.update(
            (name, found)
            for name, (found, _) in self._peers.entry_addresses().items()
        )
        return known

    def _known_vm_count(self, region: str | None) -> int:
        """Returns the number of known VMs of a region, of all for None."""
        known = self._known_vms()
        if region is None:
            return len(known)
        return sum(1 for found in known.values() if found == region)

    def _seed_controls(self) -> list[str]:
        found = [vm.control for vm in self._cluster.vms.values()]
        found.extend(self._cfg.seeds)
        return [a for a in found if a != self._own.control]

    def _build_heartbeat(
        self, sequence: int, is_full: bool
    ) -> heartbeat_module.Heartbeat:
        loads = self._load_reports()
        return heartbeat_module.Heartbeat(
            vm=self._own,
            sequence=sequence,
            is_ready=self._is_ready(),
            revision=self._replica.position.revision,
            era=self._replica.position.era,
            config=self._config_version(),
            demand=self._traffic.demand(),
            store_age_s=round(self._sync.age_s, 2),
            is_exact=self._replica.is_exact,
            usage=self._quotas.usage(),
            in_flight={
                u.instance.id: u.in_flight
                for u in self._cluster.registry.all()
                if u.in_flight
            },
            moves=self._cluster.report_moves(),
            loads=loads,
            work_percents=self._cluster.registry.work_percents(loads, True),
            limits=self._cluster.registry.rate_limits.own_reports(),
            quarantine=self._quarantine.reports(only_recent=not is_full),
            cut_off=[self._own.id] if self._isolation.is_isolated else [],
            contacts={
                service: round(age_s * 100)
                for service, age_s in self._isolation.contact_ages().items()
            },
            regions=self._traffic.region_reports(),
            pressure=self._pressure.reports(),
        )

    def _load_reports(self) -> dict[str, tuple[int, int]]:
        """Returns the load reports received since the last heartbeat."""
        since_s, self._loads_sent_s = self._loads_sent_s, self._clock()
        return self._cluster.registry.load_reports(since_s)


def _usage_source(heartbeat: heartbeat_module.Heartbeat) -> str:
    """Returns whose requests a heartbeat counts: a VM's or a region's."""
    vm = heartbeat.vm
    if heartbeat.covered_vms:
        return f"region {vm.region}"
    return f"{vm.id} {vm.incarnation}"


def _client_bounds(settings: settings_module.Settings) -> client_ledger.Bounds:
    """Returns what all clients may hold."""
    return client_ledger.bounds(
        settings.ram_mb,
        settings.max_fds,
        settings.client_memory_mb,
        settings.client_conns,
    )

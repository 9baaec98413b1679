"""Creates the tasks of a daemon and runs them until it is drained."""

import asyncio
import contextlib
import signal
import time
import uuid

from absl import logging

from bramleyworks import errors
from bramleyworks.adapters import probe
from bramleyworks.adapters import store_http
from bramleyworks.adapters import vm_list
from bramleyworks.daemon import api
from bramleyworks.daemon import audit_task
from bramleyworks.daemon import config_task
from bramleyworks.daemon import forwarder
from bramleyworks.daemon import front_app
from bramleyworks.daemon import heartbeat_builder
from bramleyworks.daemon import identity
from bramleyworks.daemon import ledger_task
from bramleyworks.daemon import limit_task
from bramleyworks.daemon import member_task
from bramleyworks.daemon import metrics
from bramleyworks.daemon import move_task
from bramleyworks.daemon import peer_forwarder
from bramleyworks.daemon import peer_link
from bramleyworks.daemon import probe_task
from bramleyworks.daemon import proxy
from bramleyworks.daemon import refusal
from bramleyworks.daemon import server
from bramleyworks.daemon import settings
from bramleyworks.daemon import slot_task
from bramleyworks.daemon import status
from bramleyworks.daemon import ticket_handler
from bramleyworks.daemon import ticket_task
from bramleyworks.document import client_block
from bramleyworks.document import stored_config
from bramleyworks.policy import block_table
from bramleyworks.policy import entry_selection
from bramleyworks.policy import entry_vm
from bramleyworks.policy import member_table

# Callers use a lookup response until its TTL ends. The extra second covers the
# time that the response takes to reach them.
MIN_DRAIN_S = entry_selection.LOOKUP_TTL_S + 1.0
DRAIN_POLL_INTERVAL_S = 0.05


class Daemon:
    """Owns all tasks of one daemon process.

    An asynchronous context manager, which opens and closes the connections.

    Attributes:
        me: Identity of this process.
    """

    def __init__(self, cfg: settings.Settings):
        self._cfg = cfg
        self._exit_stack = contextlib.AsyncExitStack()
        self._started_s = time.monotonic()
        self._client_blocks: tuple[client_block.ClientBlock, ...] = ()
        self.me = identity.Identity(
            vm_id=cfg.vm_id,
            incarnation=uuid.uuid4().hex[:12],
            region=cfg.region,
            failure_domain=cfg.failure_domain,
            http=cfg.http,
            peer=cfg.peer,
        )
        self._kv = store_http.HttpStore(cfg.store_url)
        self._vm_list = vm_list.VmList(cfg.vm_list_url)
        self._prober = probe.Probe()
        self._forwarder = forwarder.Forwarder()
        self._peer_forwarder = peer_forwarder.PeerForwarder(self.me)
        self._metrics = metrics.Metrics()
        self._create_tasks()
        self._create_front()
        self._server = server.Server(self._front, cfg.http)
        self._subscribe()

    def _create_tasks(self) -> None:
        me = self.me
        self._peer_link = peer_link.PeerLink(me)
        self._member_table = member_table.MemberTable(me.vm_id)
        self._audit = audit_task.AuditTask(me, self._kv)
        self._config = config_task.ConfigTask(
            me, self._peer_link, self._kv, self._member_table
        )
        self._ledger = ledger_task.LedgerTask(me, self._kv, self._audit)
        self._limits = limit_task.LimitTask(me, self._peer_link, self._ledger)
        self._slots = slot_task.SlotTask(
            me, self._peer_link, self._ledger, self._limits
        )
        self._probes = probe_task.ProbeTask(self._prober, self._slots)
        self._moves = move_task.MoveTask(
            me, self._peer_link, self._kv, self._audit
        )
        self._tickets = ticket_task.TicketTask(me, self._peer_link)
        self._heartbeat_builder = heartbeat_builder.HeartbeatBuilder(
            me, self._config, self._ledger, self._slots, self._moves
        )
        self._members = member_task.MemberTask(
            me,
            self._peer_link,
            self._vm_list,
            self._member_table,
            self._heartbeat_builder,
            self._cfg.seeds,
        )

    def _create_front(self) -> None:
        forward = proxy.Proxy(
            self._forwarder,
            self._slots,
            self._moves,
            self._metrics,
            lambda key: self._front.is_key_valid(key),
            self.me.region,
        )
        self._api = api.Api(
            self.me,
            self._entry_candidates,
            self._get_status,
            self._issue_ticket,
            self._metrics,
        )
        self._front = front_app.FrontApp(
            self.me,
            self._config,
            self._limits,
            ticket_handler.TicketHandler(
                self.me, self._tickets, forward, self._peer_forwarder
            ),
            forward,
            self._metrics,
            self._api.app,
            self._cfg.max_header_bytes,
        )

    @property
    def _tasks(self) -> tuple:
        return (
            self._config,
            self._ledger,
            self._limits,
            self._slots,
            self._probes,
            self._moves,
            self._tickets,
            self._audit,
        )

    def _subscribe(self) -> None:
        for task in self._tasks:
            if task is not self._config:
                self._config.subscribe(task.on_config)
            self._members.subscribe(task.on_fleet)
        self._config.subscribe(self._on_config)
        self._config.subscribe(self._members.on_config)
        self._members.subscribe_heartbeats(
            lambda heartbeat: self._config.on_heartbeat(
                heartbeat.vm_id, heartbeat.config_version
            )
        )

    def _on_config(self, stored: stored_config.StoredConfig) -> None:
        self._front.on_config(stored)
        if stored.doc.client_blocks != self._client_blocks:
            # Rebuilding blocks the event loop for about 10 us per client
            # block, so it is skipped when the blocks are unchanged.
            self._client_blocks = stored.doc.client_blocks
            self._api.client_blocks = block_table.build(self._client_blocks)

    async def __aenter__(self) -> "Daemon":
        enter = self._exit_stack.enter_async_context
        await enter(self._kv)
        await enter(self._vm_list)
        await enter(self._prober)
        await self._forwarder.open()
        self._exit_stack.push_async_callback(self._forwarder.close)
        await self._peer_forwarder.open()
        self._exit_stack.push_async_callback(self._peer_forwarder.close)
        self._peer_link.bind()
        self._exit_stack.callback(self._peer_link.close)
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._exit_stack.aclose()

    async def run(self) -> None:
        """Serves requests until a signal arrives and the drain is complete."""
        stopping = asyncio.Event()
        self._handle_signals(stopping)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(task.run())
                for task in (self._peer_link, self._members, *self._tasks)
            ]
            serve_task = group.create_task(self._server.serve())
            stop_task = group.create_task(stopping.wait())
            await asyncio.wait(
                (serve_task, stop_task), return_when=asyncio.FIRST_COMPLETED
            )
            if not serve_task.done():
                await self._drain()
            self._server.stop()
            await serve_task
            stop_task.cancel()
            for task in tasks:
                task.cancel()

    def _handle_signals(self, stopping: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()

        def on_signal() -> None:
            if stopping.is_set():
                logging.warning(
                    "second signal received: stopping without draining"
                )
                self._server.abort()
            stopping.set()

        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, on_signal)

    async def _drain(self) -> None:
        """Completes the running requests and hands the VM's state to peers."""
        logging.info("draining")
        self._heartbeat_builder.draining = True
        started_s = time.monotonic()
        self._members.send_heartbeats()
        self._front.drain()
        while time.monotonic() - started_s < self._cfg.drain_s:
            if self._server.should_exit:
                break
            if time.monotonic() - started_s >= MIN_DRAIN_S:
                # Until the lookup TTL ends, callers still use this VM. Without
                # new tickets, their requests that need one would be refused.
                self._tickets.close_unused()
                if self._is_idle():
                    break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        try:
            holders = await self._tickets.hand_over()
            logging.info("tickets handed over to %s", ", ".join(holders))
            await self._ledger.leave()
            await self._audit.flush()
            # The next heartbeat announces the new ledger epoch, and the last
            # hand-over messages need time to leave the send queue.
            await asyncio.sleep(member_task.HEARTBEAT_INTERVAL_S)
        except errors.BramleyworksError as exc:
            logging.warning("stopping without a clean hand-over: %s", exc)

    def _is_idle(self) -> bool:
        return self._front.running == 0 and self._tickets.running == 0

    def _entry_candidates(self) -> list[entry_vm.EntryVm]:
        return self._members.entry_candidates(
            not self._heartbeat_builder.draining and self._config.is_fresh_now()
        )

    def _issue_ticket(self, key: bytes) -> str | refusal.Refusal:
        table = self._front.routing_table
        if table is None or not self._config.is_fresh(time.monotonic()):
            return refusal.Refusal(
                503,
                "not_run",
                "tickets.fresh",
                "this VM can not confirm its configuration",
                retry_after_s=1,
            )
        organisation = table.organisation(key)
        if organisation is None:
            return refusal.Refusal(
                401, "not_run", "tickets.key", "the key is not valid"
            )
        try:
            return self._tickets.issue(organisation.name)
        except errors.TicketError as exc:
            return refusal.Refusal(
                503, "not_run", exc.step, exc.reason, retry_after_s=1
            )

    def _get_status(self) -> dict:
        return status.build(
            self.me,
            self._members.view(),
            self._config,
            self._ledger,
            self._slots,
            self._moves,
            self._peer_link,
            self._heartbeat_builder.draining,
            time.monotonic() - self._started_s,
        )


async def run(cfg: settings.Settings) -> int:
    """Runs a daemon; returns the exit code."""
    async with Daemon(cfg) as daemon:
        logging.info("daemon starting at %s", cfg.http)
        await daemon.run()
    logging.info("daemon stopped")
    return 0

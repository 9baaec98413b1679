"""Sends and receives heartbeats and polls the platform's VM list."""

import asyncio
import random
import time
from collections.abc import Callable

from absl import logging

from bramleyworks import errors
from bramleyworks.adapters import listed_vm
from bramleyworks.adapters import vm_list
from bramleyworks.daemon import heartbeat_builder
from bramleyworks.daemon import identity
from bramleyworks.daemon import peer_link
from bramleyworks.document import stored_config
from bramleyworks.messages import heartbeat as heartbeat_module
from bramleyworks.policy import entry_selection
from bramleyworks.policy import entry_vm
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member_table
from bramleyworks.policy import relay_tree
from bramleyworks.policy import site

HEARTBEAT_INTERVAL_S = 1.0
RANDOM_FANOUT = 2
VM_LIST_POLL_INTERVAL_S = 2.0
# A VM that is no longer on the list is removed and its connection closed when
# no heartbeat has arrived from it for this time.
UNLISTED_RETENTION_S = 60.0


class MemberTask:
    """Owns the member table and the sequence number of the heartbeats."""

    def __init__(
        self,
        me: identity.Identity,
        link: peer_link.PeerLink,
        vm_list_client: vm_list.VmList,
        table: member_table.MemberTable,
        builder: heartbeat_builder.HeartbeatBuilder,
        seeds: tuple[str, ...],
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ):
        self._me = me
        self._link = link
        self._vm_list_client = vm_list_client
        self._table = table
        self._builder = builder
        self._seeds = [seed for seed in seeds if seed != me.peer]
        self._clock = clock
        self._rng = rng or random.Random()
        self._sequence = 0
        self._listed_ids: frozenset[str] | None = None
        self._leaving_ids: frozenset[str] = frozenset()
        self._region_by_id: dict[str, str] = {}
        self._drained_ids: frozenset[str] = frozenset()
        self._entry_vms: tuple[entry_vm.EntryVm, ...] = ()
        self._listeners: list[Callable[[fleet_view.FleetView], None]] = []
        self._heartbeat_listeners: list[
            Callable[[heartbeat_module.Heartbeat], None]
        ] = []
        link.register(heartbeat_module.Heartbeat, self._on_heartbeat)

    def subscribe(
        self, listener: Callable[[fleet_view.FleetView], None]
    ) -> None:
        """Registers a function that is called with each new view.

        The view is renewed once in ``HEARTBEAT_INTERVAL_S``.
        """
        self._listeners.append(listener)

    def subscribe_heartbeats(
        self, listener: Callable[[heartbeat_module.Heartbeat], None]
    ) -> None:
        """Registers a function that is called with each accepted heartbeat."""
        self._heartbeat_listeners.append(listener)

    def view(self) -> fleet_view.FleetView:
        """Returns the current view of the fleet."""
        return self._table.view(
            self._clock(),
            self._listed_ids,
            self._leaving_ids,
            self._region_by_id,
        )

    def entry_candidates(self, include_self: bool) -> list[entry_vm.EntryVm]:
        """Returns the VMs that a lookup may return.

        Args:
            include_self: Whether the result may contain this VM.
        """
        own_vm = entry_vm.EntryVm(
            self._me.vm_id,
            self._me.http,
            site.Site(self._me.region, self._me.failure_domain),
        )
        return entry_selection.candidates(
            self.view(),
            own_vm if include_self else None,
            self._entry_vms,
            self._drained_ids,
        )

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Updates the set of drained VMs from a newer configuration."""
        self._drained_ids = frozenset(
            item.target for item in stored.doc.drains if item.kind == "vm"
        )

    async def run(self) -> None:
        """Sends heartbeats and polls the VM list until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_heartbeats_forever())
            group.create_task(self._poll_vm_list())

    async def _send_heartbeats_forever(self) -> None:
        while True:
            self.send_heartbeats()
            view = self.view()
            for listener in self._listeners:
                listener(view)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Sends one heartbeat to each chosen peer."""
        self._remove_unlisted()
        now_s = self._clock()
        self._sequence += 1
        self._table.record_sent(self._sequence, now_s)
        for name in self._choose_receivers():
            echo, hold_s = self._table.echo(name, now_s)
            self._link.send(
                name, self._builder.build(self._sequence, echo, hold_s)
            )

    def _choose_receivers(self) -> set[str]:
        members = self._table.members()
        neighbours = relay_tree.neighbours(list(members), self._me.vm_id)
        others = sorted(set(members) - neighbours)
        random_peers = self._rng.sample(others, min(RANDOM_FANOUT, len(others)))
        receivers = set(neighbours) | set(random_peers)
        if not any(
            self._clock() - member.received_s <= member_table.LIVE_TIMEOUT_S
            for member in members.values()
        ):
            receivers.update(self._connect_seeds())
        return receivers

    def _connect_seeds(self) -> list[str]:
        names = []
        for seed in self._seeds:
            name = f"seed:{seed}"
            self._link.connect(name, seed)
            names.append(name)
        return names

    def _on_heartbeat(
        self, sender: str, heartbeat: heartbeat_module.Heartbeat
    ) -> None:
        if heartbeat.vm_id != sender or not self._table.handle_heartbeat(
            heartbeat, self._clock()
        ):
            return
        self._link.connect(heartbeat.vm_id, heartbeat.peer)
        for listener in self._heartbeat_listeners:
            listener(heartbeat)

    async def _poll_vm_list(self) -> None:
        failing = False
        while True:
            try:
                listed = await self._vm_list_client.read()
            except errors.PlatformError as exc:
                if not failing:
                    logging.warning("VM list read failed: %s", exc)
                failing = True
            else:
                failing = False
                self._update_vm_list(listed)
            await asyncio.sleep(
                VM_LIST_POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            )

    def _update_vm_list(self, listed: tuple[listed_vm.ListedVm, ...]) -> None:
        self._listed_ids = frozenset(item.id for item in listed)
        self._leaving_ids = frozenset(
            item.id for item in listed if item.state == "leaving"
        )
        self._region_by_id = {item.id: item.region for item in listed}
        self._entry_vms = tuple(
            entry_vm.EntryVm(
                item.id,
                item.http,
                site.Site(item.region, item.failure_domain),
            )
            for item in listed
            if item.state == "live"
        )
        members = self._table.members()
        for item in listed:
            if item.id == self._me.vm_id or item.id in members:
                continue
            # A heartbeat announces this VM to a listed VM that has not sent
            # any yet.
            self._link.connect(item.id, item.peer)
            self._link.send(
                item.id, self._builder.build(self._sequence, 0, 0.0)
            )

    def _remove_unlisted(self) -> None:
        if self._listed_ids is None:
            return
        now_s = self._clock()
        for name, member in self._table.members().items():
            if (
                name not in self._listed_ids
                and now_s - member.received_s > UNLISTED_RETENTION_S
            ):
                self._table.remove(name)
                self._link.disconnect(name)

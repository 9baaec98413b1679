"""Exchanges heartbeats and reads the platform's VM list."""

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
from bramleyworks.messages import heartbeat
from bramleyworks.policy import entry_selection
from bramleyworks.policy import entry_vm
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member_table
from bramleyworks.policy import relay_tree
from bramleyworks.policy import site

HEARTBEAT_INTERVAL_S = 1.0
RANDOM_FANOUT = 2
VM_LIST_POLL_INTERVAL_S = 2.0
# A VM that the list no longer holds is forgotten after this silence, so that
# its connection is closed.
UNLISTED_RETENTION_S = 60.0


class MemberTask:
    """Owns the members and the sequence of our heartbeats."""

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
            Callable[[heartbeat.Heartbeat], None]
        ] = []
        link.register(heartbeat.Heartbeat, self._on_heartbeat)

    def subscribe(
        self, listener: Callable[[fleet_view.FleetView], None]
    ) -> None:
        """Calls a function with each new view, about once a second."""
        self._listeners.append(listener)

    def subscribe_heartbeats(
        self, listener: Callable[[heartbeat.Heartbeat], None]
    ) -> None:
        """Calls a function with each heartbeat accepted."""
        self._heartbeat_listeners.append(listener)

    def view(self) -> fleet_view.FleetView:
        """Returns the view of the fleet now."""
        return self._table.view(
            self._clock(),
            self._listed_ids,
            self._leaving_ids,
            self._region_by_id,
        )

    def entry_candidates(self, include_self: bool) -> list[entry_vm.EntryVm]:
        """Returns the VMs that a look-up may name.

        Args:
            serves: Whether this VM may be named.
        """
        own = entry_vm.EntryVm(
            self._me.vm_id,
            self._me.http,
            site.Site(self._me.region, self._me.failure_domain),
        )
        return entry_selection.candidates(
            self.view(),
            own if include_self else None,
            self._entry_vms,
            self._drained_ids,
        )

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Takes the drained VMs of a newer configuration."""
        self._drained_ids = frozenset(
            item.target for item in stored.doc.drains if item.kind == "vm"
        )

    async def run(self) -> None:
        """Sends heartbeats and reads the list until cancelled."""
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
        """Sends one heartbeat to each neighbour."""
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
        near = relay_tree.neighbours(list(members), self._me.vm_id)
        others = sorted(set(members) - near)
        picked = self._rng.sample(others, min(RANDOM_FANOUT, len(others)))
        receivers = set(near) | set(picked)
        if not any(
            self._clock() - known.received_s <= member_table.LIVE_TIMEOUT_S
            for known in members.values()
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

    def _on_heartbeat(self, sender: str, beat: heartbeat.Heartbeat) -> None:
        if beat.vm_id != sender or not self._table.handle_heartbeat(
            beat, self._clock()
        ):
            return
        self._link.connect(beat.vm_id, beat.peer)
        for listener in self._heartbeat_listeners:
            listener(beat)

    async def _poll_vm_list(self) -> None:
        failing = False
        while True:
            try:
                listed = await self._vm_list_client.read()
            except errors.PlatformError as exc:
                if not failing:
                    logging.warning("VM list not read: %s", exc)
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
        known = self._table.members()
        for item in listed:
            if item.id == self._me.vm_id or item.id in known:
                continue
            # A listed VM that was never heard of is invited by a heartbeat.
            self._link.connect(item.id, item.peer)
            self._link.send(
                item.id, self._builder.build(self._sequence, 0, 0.0)
            )

    def _remove_unlisted(self) -> None:
        if self._listed_ids is None:
            return
        now_s = self._clock()
        for name, known in self._table.members().items():
            if (
                name not in self._listed_ids
                and now_s - known.received_s > UNLISTED_RETENTION_S
            ):
                self._table.remove(name)
                self._link.disconnect(name)

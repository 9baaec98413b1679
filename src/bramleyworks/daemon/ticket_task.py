"""Owns the tickets of this daemon."""

import asyncio
import itertools
import time
from collections.abc import Callable

from absl import logging

from bramleyworks import errors
from bramleyworks.daemon import identity
from bramleyworks.daemon import peer_link
from bramleyworks.document import stored_config
from bramleyworks.messages import ticket_handover
from bramleyworks.policy import fleet_view
from bramleyworks.policy import peer_rank
from bramleyworks.policy import ticket_outcome
from bramleyworks.policy import ticket_step
from bramleyworks.policy import tickets

EXPIRE_INTERVAL_S = 1.0
HANDOVER_PEERS = 2
# One more than HANDOVER_PEERS, because a VM that joined after the issuer
# stopped may rank before the receivers of the handover.
LOOKUP_PEERS = 3
HANDOVER_PART_ENTRIES = 256


class TicketTask:
    """Issues tickets and decides what to do with requests that carry one."""

    def __init__(
        self,
        me: identity.Identity,
        link: peer_link.PeerLink,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._me = me
        self._issuer = f"{me.vm_id}.{me.incarnation}"
        self._link = link
        self._clock = clock
        self._table = tickets.TicketTable(self._issuer)
        self._handovers = tickets.HandoverTable()
        self._outcome_futures: dict[int, asyncio.Future] = {}
        self._fleet_view = fleet_view.FleetView(me.vm_id, {})
        link.register(ticket_handover.TicketHandover, self._on_handover)

    def issue(self, organisation: str) -> str:
        """Issues a ticket to an organisation.

        Raises:
            errors.TicketError: This VM is stopping or has too many running
                tickets; the request did not run.
        """
        ticket = self._table.issue(organisation)
        if ticket is None:
            reason = (
                "stopping" if self._table.closed else "too many tickets run"
            )
            raise errors.TicketError("ticket.issue", "-", reason)
        return ticket

    def begin(
        self,
        ticket: str,
        organisation: str,
        digest: str,
        forwarded: bool = False,
    ) -> ticket_step.TicketStep:
        """Decides what to do with a request that carries a ticket.

        Args:
            ticket: Value of the header ``Idempotency-Key``.
            organisation: Organisation of the caller's key.
            digest: Digest of method, path and body.
            forwarded: Whether another VM forwarded the request; such a
                request is not forwarded again.
        """
        parsed = tickets.parse(ticket)
        if parsed is None:
            return ticket_step.Mismatch("the ticket is malformed")
        issuer, sequence = parsed
        now_s = self._clock()
        if issuer == self._issuer:
            return self._table.begin(sequence, organisation, digest, now_s)
        step = self._handovers.begin(
            issuer, sequence, organisation, digest, now_s
        )
        if step is not None:
            return step
        if forwarded:
            return ticket_step.Unknown("this VM does not know the ticket")
        targets = self._forward_targets(issuer)
        if not targets:
            return ticket_step.Unknown("the issuing VM is not reachable")
        return ticket_step.Forward(targets)

    def finish(
        self,
        ticket: str,
        outcome: ticket_outcome.TicketOutcome,
        attempt: int | None = None,
    ) -> None:
        """Records the outcome of the running attempt and wakes its waiters.

        Must be called exactly once for each ``Run``, also when the request is
        cancelled; if the outcome is uncertain, its kind is ``"unknown"``.

        Args:
            ticket: The ticket.
            outcome: How the attempt ended.
            attempt: Number from ``Run``; None for the running attempt.
        """
        sequence = self._parse_own(ticket)
        if sequence is None:
            return
        stored = self._table.finish(sequence, outcome, self._clock(), attempt)
        if stored is None:
            logging.error(
                "ticket.finish: %s: this attempt is not running", ticket
            )
            return
        future = self._outcome_futures.pop(sequence, None)
        if future is not None and not future.done():
            future.set_result(stored)

    async def wait(self, ticket: str) -> ticket_outcome.TicketOutcome:
        """Waits for the end of the running attempt and returns its outcome.

        After ``"not_run"`` the caller may call ``begin`` again.
        """
        sequence = self._parse_own(ticket)
        if sequence is None:
            return ticket_outcome.UNKNOWN
        if not self._table.is_running(sequence):
            return self._table.outcome(sequence) or ticket_outcome.UNKNOWN
        future = self._outcome_futures.get(sequence)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._outcome_futures[sequence] = future
        # A cancelled waiter must not cancel the future of the others.
        return await asyncio.shield(future)

    @property
    def running(self) -> int:
        """The number of running tickets, which a graceful stop waits for."""
        return self._table.running

    def close_unused(self) -> int:
        """Stops issuing; closes unused tickets and returns their number."""
        return self._table.close_unused()

    async def hand_over(self) -> tuple[str, ...]:
        """Sends the outcomes to ``HANDOVER_PEERS`` peers.

        Call it after running tickets have ended. The handover is not
        acknowledged, and closing the link drops unsent messages, so the link
        must stay open for about a second afterwards.

        Returns:
            Ids of the peers to which all parts were queued.
        """
        self.close_unused()
        self._table.expire(self._clock())
        peers = []
        for vm_id in peer_rank.rank(
            self._issuer, self._handover_candidates(self._issuer)
        ):
            if len(peers) == HANDOVER_PEERS:
                break
            if await self._send_handover(vm_id):
                peers.append(vm_id)
        return tuple(peers)

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Does nothing; tickets do not depend on the configuration."""

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Updates the view of the fleet."""
        self._fleet_view = view

    async def run(self) -> None:
        """Removes expired tickets periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self._table.expire(self._clock())
            self._handovers.expire(self._clock())

    def _parse_own(self, ticket: str) -> int | None:
        parsed = tickets.parse(ticket)
        if parsed is None or parsed[0] != self._issuer:
            return None
        return parsed[1]

    def _handover_candidates(self, issuer: str) -> list[str]:
        vm_id = issuer.rpartition(".")[0]
        return [
            name
            for name, peer in self._fleet_view.live.items()
            if name != vm_id
            and not peer.heartbeat.draining
            and name not in self._fleet_view.leaving
        ]

    def _forward_targets(self, issuer: str) -> tuple[ticket_step.Target, ...]:
        vm_id, _, incarnation = issuer.rpartition(".")
        names = []
        peer = self._fleet_view.live.get(vm_id)
        if peer is not None and peer.heartbeat.incarnation == incarnation:
            names.append(vm_id)
        ranked = peer_rank.rank(
            issuer, [*self._handover_candidates(issuer), self._me.vm_id]
        )
        names += [
            name for name in ranked[:LOOKUP_PEERS] if name != self._me.vm_id
        ]
        return tuple(
            ticket_step.Target(name, self._fleet_view.live[name].heartbeat.http)
            for name in names
        )

    async def _send_handover(self, vm_id: str) -> bool:
        entries = self._table.handover()
        while part := dict(itertools.islice(entries, HANDOVER_PART_ENTRIES)):
            msg = ticket_handover.TicketHandover(
                issuer=self._issuer,
                entries=part,
                last_sequence=self._table.last_sequence,
            )
            if not self._link.send(vm_id, msg):
                return False
            # Encoding 100,000 entries without a pause would delay requests.
            await asyncio.sleep(0)
        return True

    def _on_handover(
        self, sender: str, msg: ticket_handover.TicketHandover
    ) -> None:
        vm_id = msg.issuer.rpartition(".")[0]
        if vm_id != sender or msg.issuer == self._issuer:
            logging.warning(
                "ticket.handover: %s: rejected handover for issuer %s",
                sender,
                msg.issuer,
            )
            return
        self._handovers.add(msg.issuer, msg.entries, self._clock())

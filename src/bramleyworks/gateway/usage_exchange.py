"""Sends this VM's counts to the holder of the duty, and receives those of VMs.

The holder's own counts would end with it. It sends them to two other VMs, and a
VM that has counts of a run that has ended passes them on to a new holder.
"""

import asyncio
import contextlib
import math
import random
import time
from collections.abc import Callable
from collections.abc import Collection

import aiohttp
from absl import logging

from bramleyworks.adapters import http_session
from bramleyworks.gateway import duty_holder
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.gateway import usage_message
from bramleyworks.gateway import usage_meter
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import wire_duty
from bramleyworks.policy import fleet_clock
from bramleyworks.policy import usage_counts

# Seconds after its last message for which a VM without counts is known.
SILENT_S = 60.0
# If a VM is lost, so are its counts since the last message.
SEND_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.25
SEND_TIMEOUT_S = 1.0
# Longest delay of the first message to a new holder, so that those of 90 VMs do
# not come at once.
FIRST_DELAY_S = 0.4
# Time within which VMs that are well have sent counts.
HEARD_S = 3.0
# VMs that have the counts of the holder itself.
BACKUPS = 2
# Time after a correction of the shared time until all VMs follow it.
CLOCK_SETTLE_S = 3.0
# Time that a stopping process has for its last message.
LAST_SEND_S = 0.4


class UsageExchange:
    """Exchanges counts of usage with other VMs."""

    def __init__(
        self,
        own: vm_module.Vm,
        holder: duty_holder.DutyHolder,
        replica: store_replica_module.StoreReplica,
        meter: usage_meter.UsageMeter,
        collection: usage_counts.UsageCollection,
        shared_clock: fleet_clock.FleetClock,
        is_running: Callable[[str, int], bool],
        backups: Callable[[], list[str]],
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ):
        """Initializes the exchange without connecting.

        Args:
            own: This VM.
            holder: Holder of the duty, as far as this VM is concerned.
            replica: What this VM knows of the store.
            meter: Counts of this VM.
            collection: Counts that were received.
            shared_clock: Shared time of day.
            is_running: Returns whether heartbeats of a VM arrive, and whether
                it is still in some run, its incarnation.
            backups: Returns control addresses of VMs in order of preference.
            clock: Monotonic time in seconds.
            wall_clock: Time of day of this VM in seconds since 1970.
        """
        self._own = own
        self._holder = holder
        self._replica = replica
        self._meter = meter
        self._collection = collection
        self._shared_clock = shared_clock
        self._is_running = is_running
        self._backups = backups
        self._clock = clock
        self._wall_clock = wall_clock
        self._stack = contextlib.AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None
        # The holder that the versions below were confirmed by.
        self._token = -1
        # Confirmed version of the counts of this VM by address, and of the
        # counts passed on by their origin.
        self._confirmed: dict[str, int] = {}
        self._passed_on: dict[tuple[str, int], int] = {}
        self._next_send_s = -math.inf
        # Skew by VM and when it was received.
        self._skews: dict[str, tuple[float, float]] = {}
        self._corrected_s = -math.inf

    async def open(self) -> None:
        """Opens the connection pool."""
        self._session = await self._stack.enter_async_context(
            http_session.create(SEND_TIMEOUT_S, self._own.control.split(":")[0])
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._stack.aclose()

    async def run(self) -> None:
        """Sends counts until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._follow_holder()
            now_s = self._clock()
            if now_s >= self._next_send_s:
                self._next_send_s = now_s + SEND_INTERVAL_S
                await self.send()

    async def send(self) -> None:
        """Sends what has changed since the last message."""
        now_s = self._clock()
        window = self._meter.window_of(now_s)
        self._meter.counts.forget(window)
        self._collection.forget(window, now_s - SILENT_S)
        if self._holder.token is not None:
            self._merge_own(window, now_s)
            self._correct_clock(now_s)
            for address in self._backups()[:BACKUPS]:
                await self._send_own(address)
            return
        visible = self._holder.visible()
        if visible is None or visible[0].vm == self._own.id:
            # Its lease has ended here and will end in the store.
            return
        address = visible[0].control
        if await self._send_own(address, is_holder=True):
            await self._pass_on(address, visible[0])

    async def flush(self) -> None:
        """Sends what has changed before the process ends."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_SEND_S):
                await self.send()

    def receive(self, raw: bytes, peer: str) -> bytes | None:
        """Merges the message of another VM.

        Args:
            raw: The message.
            peer: Address of its sender.

        Returns:
            The response, None if the message is malformed.
        """
        decoded = usage_message.decode(raw, peer)
        if decoded.is_err():
            logging.warning("%s", decoded.unwrap_err())
            return None
        message = decoded.unwrap()
        now_s = self._clock()
        self._collection.merge(
            message.vm,
            message.incarnation,
            message.version,
            message.counts,
            self._meter.window_of(now_s),
            -math.inf if message.is_passed_on else now_s,
        )
        if not message.is_passed_on:
            self._skews[message.vm] = message.skew_s, now_s
        return usage_message.encode_reply(self._shared_clock.time_s(now_s))

    def missing(
        self, expected: Collection[str], covering_s: float | None = None
    ) -> int:
        """Returns how many VMs have not sent counts since a time.

        Args:
            expected: Names of the VMs that should.
            covering_s: Shared time of day, None for a few messages ago.
        """
        now_s = self._clock()
        age_s = HEARD_S
        if covering_s is not None:
            age_s = self._shared_clock.time_s(now_s) - covering_s
        heard = self._collection.heard_since(now_s - age_s)
        return len(set(expected) - heard - {self._own.id})

    def collect_own(self) -> None:
        """Adds the latest counts of this VM to the collection."""
        now_s = self._clock()
        self._merge_own(self._meter.window_of(now_s), now_s)

    @property
    def _own_key(self) -> tuple[str, int]:
        return self._own.id, self._own.incarnation

    def _merge_own(self, window: int, now_s: float) -> None:
        counts = self._meter.counts
        known = self._confirmed.get("", 0)
        self._collection.merge(
            *self._own_key,
            counts.version,
            counts.changes_since(known),
            window,
            now_s,
        )
        self._confirmed[""] = counts.version

    def _follow_holder(self) -> None:
        """Sends everything again, and soon, when the holder has changed."""
        token = self._holder.token
        if token is None:
            visible = self._holder.visible()
            token = visible[1] if visible is not None else -1
        if token == self._token:
            return
        self._token = token
        self._confirmed.clear()
        self._passed_on.clear()
        self._next_send_s = min(
            self._next_send_s,
            self._clock() + random.uniform(0.0, FIRST_DELAY_S),
        )

    async def _send_own(self, address: str, is_holder: bool = False) -> bool:
        """Sends this VM's counts; returns whether that was confirmed."""
        counts = self._meter.counts
        version = counts.version
        sent_s = self._clock()
        reply = await self._post(
            address,
            usage_message.UsageMessage(
                *self._own_key,
                version,
                self._unrecorded(
                    counts.changes_since(self._confirmed.get(address, 0))
                ),
                skew_s=round(
                    self._shared_clock.skew_s(self._wall_clock(), sent_s), 4
                ),
            ),
        )
        if reply is None:
            return False
        self._confirmed[address] = version
        if is_holder:
            self._shared_clock.follow(reply, sent_s, self._clock())
        return True

    async def _pass_on(self, address: str, holder: wire_duty.Holder) -> None:
        """Sends the counts of runs that have ended to the holder."""
        present = {self._own_key, (holder.vm, holder.incarnation)}
        for key, origin in self._collection.origins().items():
            version = origin.version
            if (
                version <= self._passed_on.get(key, -1)
                or key in present
                or self._is_running(*key)
            ):
                continue
            message = usage_message.UsageMessage(
                *key,
                version,
                self._unrecorded(origin.windows),
                is_passed_on=True,
            )
            if not message.counts or await self._post(address, message):
                self._passed_on[key] = version

    def _unrecorded(self, counts: usage_counts.Counts) -> usage_counts.Counts:
        """Returns the counts of windows that may still be recorded."""
        return {
            window: values
            for window, values in counts.items()
            if self._replica.get(
                wire_duty.record_key(self._holder.duty, window)
            )
            is None
        }

    async def _post(
        self, address: str, message: usage_message.UsageMessage
    ) -> float | None:
        """Sends a message; returns the receiver's time, None if it failed."""
        try:
            async with self._session.post(
                f"http://{address}{usage_message.USAGE_PATH}",
                data=usage_message.encode(message),
            ) as response:
                raw = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            logging.info("usage not sent to %s: %r", address, exc)
            return None
        if status != 200:
            logging.info("usage not sent to %s: status %d", address, status)
            return None
        decoded = usage_message.decode_reply(raw, address)
        if decoded.is_err():
            logging.warning("%s", decoded.unwrap_err())
            return None
        return decoded.unwrap()

    def _correct_clock(self, now_s: float) -> None:
        """Corrects the shared time, which the other VMs follow."""
        # Skews of before a correction refer to the time before it, and a VM
        # that has just become the holder has heard of few.
        settled_s = max(self._corrected_s, self._holder.acquired_s)
        if now_s < settled_s + CLOCK_SETTLE_S:
            return
        self._skews = {
            name: (skew_s, received_s)
            for name, (skew_s, received_s) in self._skews.items()
            if received_s >= now_s - HEARD_S
        }
        own_s = self._shared_clock.skew_s(self._wall_clock(), now_s)
        if self._shared_clock.correct(
            [own_s, *(skew_s for skew_s, _ in self._skews.values())]
        ):
            self._corrected_s = now_s
            self._skews.clear()

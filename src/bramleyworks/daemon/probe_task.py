"""Health probes of the upstreams that this VM owns."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

import result
from absl import logging

from bramleyworks import errors
from bramleyworks.document import stored_config
from bramleyworks.document import upstream as upstream_lib
from bramleyworks.policy import fleet_view
from bramleyworks.policy import probe_result

PROBE_INTERVAL_S = 1.0


class Prober(Protocol):
    """The part of the probe adapter that the task uses."""

    async def read(
        self, url: str
    ) -> result.Result[probe_result.ProbeResult, errors.PlatformError]:
        """Reads the health endpoint of one upstream."""


class Slots(Protocol):
    """The part of the slot task that the task uses."""

    def owned(self) -> dict[str, upstream_lib.Upstream]:
        """Returns the upstreams that this VM owns, by name."""

    def on_probe(
        self,
        upstream: str,
        reading: probe_result.ProbeResult | None,
        started_s: float,
    ) -> None:
        """Handles the result of a probe.

        Args:
            upstream: Name of the upstream.
            reading: The response, None if the probe failed.
            started_s: Monotonic time at which the probe started.
        """


class ProbeTask:
    """Probes each owned upstream once a second.

    Probes of different upstreams run concurrently, so a hanging upstream
    delays only its own. An upstream has at most one probe in flight.
    """

    def __init__(
        self,
        prober: Prober,
        slots: Slots,
        clock: Callable[[], float] = time.monotonic,
        interval_s: float = PROBE_INTERVAL_S,
    ):
        self._prober = prober
        self._slots = slots
        self._clock = clock
        self._interval_s = interval_s
        self._in_flight: dict[str, asyncio.Task] = {}
        self._failing: set[str] = set()

    def on_config(self, stored: stored_config.StoredConfig) -> None:
        """Does nothing: the slot task provides the upstreams."""

    def on_fleet(self, view: fleet_view.FleetView) -> None:
        """Does nothing: the slot task provides the ownership."""

    async def run(self) -> None:
        """Starts probes until cancelled."""
        try:
            while True:
                self._start_probes()
                await asyncio.sleep(self._interval_s)
        finally:
            for task in self._in_flight.values():
                task.cancel()
            await asyncio.gather(
                *self._in_flight.values(), return_exceptions=True
            )

    def _start_probes(self) -> None:
        for name, spec in self._slots.owned().items():
            if name not in self._in_flight:
                task = asyncio.create_task(self._probe(name, spec.url))
                self._in_flight[name] = task
                task.add_done_callback(
                    lambda _, name=name: self._in_flight.pop(name, None)
                )

    async def _probe(self, name: str, url: str) -> None:
        started_s = self._clock()
        probed = await self._prober.read(url)
        if probed.is_ok():
            self._slots.on_probe(name, probed.unwrap(), started_s)
            if name in self._failing:
                self._failing.discard(name)
                logging.info("probe of %s succeeded after failures", name)
            return
        self._slots.on_probe(name, None, started_s)
        if name not in self._failing:
            self._failing.add(name)
            logging.warning("probe failed: %s", probed.unwrap_err())

"""Naive policy: VMs do not coordinate."""

import asyncio
import random

from bramleyworks.daemon import identity
from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import stored_config
from bramleyworks.policy import entry_vm
from bramleyworks.policy import site
from bramleyworks.policy import slot_owner
from bramleyworks_lab import model_request
from bramleyworks_lab import model_upstream
from bramleyworks_lab import model_world
from bramleyworks_lab import rate_meter

MAX_ATTEMPTS = 2
CONFIG_POLL_S = 5.0
PROBE_INTERVAL_S = 1.0
# Traffic shares of the next version; each lasts an equal part of the time to
# the deadline.
CANARY_SHARES = (0.05, 0.25, 0.5, 1.0)
CANARY_MIN_REQUESTS = 100
CANARY_MAX_FAILURE_RATE = 0.05


class NaiveVm:
    """Uses round robin, local token buckets, fixed canary shares and one retry.

    Each of N VMs admits 1/N of an organisation's rate.

    Attributes:
        me: Identity of the VM.
        first_cut_s: Time in seconds when this VM aborted the move, None if
            never.
        enforces_rates: Whether requests over the rate are refused.
    """

    enforces_rates = True

    def __init__(
        self,
        world: model_world.ModelWorld,
        me: identity.Identity,
        rng: random.Random,
    ):
        self.me = me
        self._world = world
        self._rng = rng
        self._doc = document.Document()
        self._buckets: dict[str, rate_meter.RateMeter] = {}
        self._excluded: set[str] = set()
        self._next_index = rng.randrange(1000)
        self._canary_counts = [0, 0]
        self.first_cut_s: float | None = None

    def start(self) -> list[asyncio.Task]:
        """Starts polling and probing; the caller must cancel the tasks."""
        return [
            asyncio.ensure_future(self._poll_config()),
            asyncio.ensure_future(self._probe_upstreams()),
        ]

    def candidates(self) -> list[entry_vm.EntryVm]:
        """Returns the live VMs of the platform's list."""
        return [
            entry_vm.EntryVm(
                item.id, item.http, site.Site(item.region, item.failure_domain)
            )
            for item in self._world.vm_list
            if item.state == "live"
        ]

    async def _poll_config(self) -> None:
        while True:
            entry = self._world.store.data.entries.get(stored_config.CONFIG_KEY)
            if entry and not self._world.store.down:
                self._doc = codec.decode_stored(entry[0]).unwrap().doc
                count = self._world.deployment.vms
                for item in self._doc.organisations:
                    self._buckets.setdefault(
                        item.name,
                        rate_meter.RateMeter(
                            item.rate_per_s / count, item.burst / count
                        ),
                    )
            await asyncio.sleep(CONFIG_POLL_S * self._rng.uniform(0.5, 1.0))

    async def _probe_upstreams(self) -> None:
        while True:
            if not self._world.frozen_health:
                self._excluded = {
                    name
                    for name, upstream in self._world.upstreams.items()
                    if upstream.down
                    or not self._world.is_reachable(
                        self.me.region, upstream.spec.region
                    )
                }
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _choose_version(self, service: str) -> str:
        now_s = self._world.clock()
        version = next(
            s.version for s in self._doc.services if s.name == service
        )
        for move in self._doc.moves:
            if move.service == service and now_s >= move.start_s:
                elapsed_fraction = (now_s - move.start_s) / (
                    move.deadline_s - move.start_s
                )
                step = min(
                    len(CANARY_SHARES) - 1,
                    int(elapsed_fraction * len(CANARY_SHARES)),
                )
                if (
                    self.first_cut_s is None
                    and self._rng.random() < CANARY_SHARES[step]
                ):
                    return move.to_version
        return version

    def _choose_upstream(
        self, service: str, version: str, exclude: str
    ) -> model_upstream.ModelUpstream | None:
        drained = slot_owner.drained_upstreams(self._doc)
        usable = [
            self._world.upstreams[item.name]
            for item in self._doc.upstreams
            if item.service == service
            and item.version == version
            and item.name not in drained
            and item.name not in self._excluded
            and item.name != exclude
        ]
        local = [u for u in usable if u.spec.region == self.me.region]
        chosen = local or usable
        if not chosen:
            return None
        self._next_index += 1
        return chosen[self._next_index % len(chosen)]

    async def serve(
        self, req: model_request.ModelRequest
    ) -> model_request.Outcome:
        """Serves one request."""
        bucket = self._buckets.get(req.organisation)
        if bucket is None:
            return "stale"
        now_s = self._world.clock()
        if self.enforces_rates and not bucket.has_token(now_s):
            return "rate"
        bucket.record_event(now_s)
        self._world.events.record_admission(req.organisation, now_s)
        failed_upstream = ""
        for _ in range(MAX_ATTEMPTS):
            version = self._choose_version(req.service)
            upstream = self._choose_upstream(
                req.service, version, failed_upstream
            )
            if upstream is None:
                return "slot"
            if await self._send_upstream(req, upstream):
                return "ok"
            failed_upstream = upstream.spec.name
        return "failed"

    async def _send_upstream(
        self,
        req: model_request.ModelRequest,
        upstream: model_upstream.ModelUpstream,
    ) -> bool:
        world = self._world
        spec = upstream.spec
        world.events.record_upstream_request(
            self.me.region, spec.region, req.route, spec.version, world.clock()
        )
        delay_s = world.deployment.latency_s(self.me.region, spec.region)
        await asyncio.sleep(delay_s)
        is_ok = world.is_reachable(
            self.me.region, spec.region
        ) and await upstream.run(req.route, req.region, world.clock())
        await asyncio.sleep(delay_s)
        if any(move.to_version == spec.version for move in self._doc.moves):
            self._canary_counts[0] += 1
            self._canary_counts[1] += not is_ok
            if (
                self.first_cut_s is None
                and self._canary_counts[0] >= CANARY_MIN_REQUESTS
                and self._canary_counts[1]
                > CANARY_MAX_FAILURE_RATE * self._canary_counts[0]
            ):
                self.first_cut_s = world.clock()
        return is_ok

"""Load generator for the callers of all organisations."""

import asyncio
import random
from collections.abc import Callable

from bramleyworks.policy import entry_selection
from bramleyworks_lab import deployment
from bramleyworks_lab import model_request
from bramleyworks_lab import model_world
from bramleyworks_lab import modelled_service
from bramleyworks_lab import scenario

# Address blocks per region; clients in a block share a cached look-up.
CLIENT_BLOCKS = 40
# A caller retries after a failed connection or a stale VM's refusal.
MAX_ATTEMPTS = 3
CONNECT_TIMEOUT_S = 1.0


class Callers:
    """Sends requests with Poisson arrivals to the VMs that look-ups name.

    Attributes:
        vms: VMs by name; must be set before ``run``.
    """

    def __init__(
        self,
        world: model_world.ModelWorld,
        plan: scenario.Scenario,
        look_up: Callable[[str, str], str | None],
        rng: random.Random,
    ):
        self._world = world
        self._scenario = plan
        self._look_up = look_up
        self._rng = rng
        self._lookup_cache: dict[str, tuple[str, float]] = {}
        self.vms: dict[str, object] = {}

    async def run(self, seconds: float) -> None:
        """Sends requests for ``seconds`` and waits for all responses."""
        item = self._world.deployment
        fractions = list(deployment.ORGANISATION_FRACTIONS)
        fractions[-1] *= self._scenario.heavy
        rate = item.capacity_per_s() * self._scenario.load * sum(fractions)
        names = [f"org{number}" for number in range(len(fractions))]
        weights = [s.capacity_per_s() for s in item.services]
        end_s = self._world.clock() + seconds
        running: set[asyncio.Task] = set()
        while self._world.clock() < end_s:
            await asyncio.sleep(self._rng.expovariate(rate))
            service = self._rng.choices(item.services, weights)[0]
            route = self._rng.choice(modelled_service.ROUTES)
            req = model_request.ModelRequest(
                organisation=self._rng.choices(names, fractions)[0],
                service=service.name,
                route=f"/{service.name}/{route}",
                region=self._rng.choice(item.regions),
                started_s=self._world.clock(),
            )
            task = asyncio.ensure_future(self._send(req))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def _send(self, req: model_request.ModelRequest) -> None:
        world = self._world
        is_within = world.events.record_request(req, world.clock())
        client = self._client(req.region)
        outcome: model_request.Outcome = "failed"
        for _ in range(MAX_ATTEMPTS):
            name = self._vm_for(client, req.region)
            if name is None or name in world.network.dead:
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                self._lookup_cache.pop(client, None)
                continue
            vm = self.vms[name]
            delay_s = world.deployment.client_s
            if vm.me.region != req.region:
                delay_s += world.deployment.region_s
            await asyncio.sleep(delay_s)
            outcome = await vm.serve(req)
            await asyncio.sleep(delay_s)
            if name in world.network.dead:
                outcome = "failed"
            if outcome != "stale":
                break
            self._lookup_cache.pop(client, None)
        world.events.record_outcome(req, outcome, is_within, world.clock())

    def _client(self, region: str) -> str:
        number = region_index(self._world, region)
        return f"10.{number}.{self._rng.randrange(CLIENT_BLOCKS)}.1"

    def _vm_for(self, client: str, region: str) -> str | None:
        now_s = self._world.clock()
        cached = self._lookup_cache.get(client)
        if cached and cached[1] > now_s:
            return cached[0]
        name = self._look_up(client, region)
        if name is not None:
            self._lookup_cache[client] = (
                name,
                now_s + entry_selection.LOOKUP_TTL_S,
            )
        return name


def region_index(world: model_world.ModelWorld, region: str) -> int:
    """Returns the index of a region, which its client blocks contain."""
    return world.deployment.regions.index(region)

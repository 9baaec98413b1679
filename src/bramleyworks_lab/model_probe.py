"""Model of the health endpoints of upstreams."""

import result

from bramleyworks import errors
from bramleyworks.policy import probe_result
from bramleyworks_lab import model_world


class ModelProbe:
    """Implements the probe of ``daemon.probe_task`` from one region.

    While health is frozen, it repeats the last result.
    """

    def __init__(self, world: model_world.ModelWorld, region: str):
        self._world = world
        self._region = region
        self._last_results: dict[str, probe_result.ProbeResult] = {}

    async def read(
        self, url: str
    ) -> result.Result[probe_result.ProbeResult, errors.PlatformError]:
        """Returns the probe result of the upstream with this URL."""
        name = url.removeprefix("http://")
        target = self._world.upstreams[name]
        if target.down or not self._world.is_reachable(
            self._region, target.spec.region
        ):
            return result.Err(
                errors.PlatformError("probe.read", name, "no response")
            )
        current = probe_result.ProbeResult(
            "draining" if target.draining else "ok",
            min(target.running, target.spec.slots),
            target.spec.slots,
            target.spec.version,
        )
        if self._world.frozen_health:
            return result.Ok(self._last_results.get(name, current))
        self._last_results[name] = current
        return result.Ok(current)

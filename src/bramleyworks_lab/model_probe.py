"""Health endpoints of the model's servers."""

import result

from bramleyworks import errors
from bramleyworks.policy import probe_result
from bramleyworks_lab import model_world


class ModelProbe:
    """Implements the prober of ``daemon.probe_task`` for one region."""

    def __init__(self, world: model_world.ModelWorld, region: str):
        self._world = world
        self._region = region
        self._last_results: dict[str, probe_result.ProbeResult] = {}

    async def read(
        self, url: str
    ) -> result.Result[probe_result.ProbeResult, errors.PlatformError]:
        """Returns the reading of the server with this URL."""
        name = url.removeprefix("http://")
        server = self._world.upstreams[name]
        if server.down or not self._world.is_reachable(
            self._region, server.spec.region
        ):
            return result.Err(
                errors.PlatformError("probe.read", name, "no answer")
            )
        reading = probe_result.ProbeResult(
            "draining" if server.draining else "ok",
            min(server.running, server.spec.slots),
            server.spec.slots,
            server.spec.version,
        )
        if self._world.frozen_health:
            return result.Ok(self._last_results.get(name, reading))
        self._last_results[name] = reading
        return result.Ok(reading)
